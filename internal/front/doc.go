// Package front implements the server side of the PostgreSQL protocol. It authenticates callers, stores prepared
// statements per session, assembles messages into cycles (up to Query, Sync or Flush), refuses statements that would
// leave session state on a shared connection, and forwards cycles to the executors that a spool.Dispatcher opens.
package front
