// Package front speaks the PostgreSQL protocol with callers.
//
// It checks a caller's key, assembles messages into cycles, keeps the definitions of prepared statements, refuses what
// would leak state through a shared connection, and passes cycles to the executors that a spool.Gate opens.
package front
