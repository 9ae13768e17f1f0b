// Package linecl is a caller that speaks the line protocol, for tests.
package linecl
