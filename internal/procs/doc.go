// Package procs tests the programs as separate processes over loopback sockets: platform, servers and proxies are killed,
// stopped by SIGSTOP and restarted under load.
package procs
