// Package stub implements spool.Dispatcher for tests and benchmarks without admission control or routing: it runs all
// work on one server, over an unbounded pool of connections.
package stub
