// Package pool shares the connections to backend servers between sessions.
//
// A connection works for one team, carries session values and prepared
// statements, and serves one transaction at a time. The pool knows the
// registered servers of each group and which of them is the primary.
package pool
