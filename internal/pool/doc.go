// Package pool shares the connections to backend servers between sessions.
//
// A connection belongs to one team, holds session values and prepared
// statements, and runs one transaction at a time. The pool tracks the
// registered servers of each group and which of them is the primary.
package pool
