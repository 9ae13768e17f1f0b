// Package linecl is a client of the line protocol for tests.
package linecl
