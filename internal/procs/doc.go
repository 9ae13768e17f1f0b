// Package procs tests the programs as real processes over real sockets: platform, servers and proxies are killed, frozen
// and restarted under load.
package procs
