// Package regsrv is an in-memory stand-in for a backend server: a register store that speaks the PostgreSQL protocol,
// replicates asynchronously and records what it saw.
package regsrv
