// Package linesrv is a stand-in for a group of backend servers that speak the
// line protocol: a primary, replicas that follow it, and the faults that tests
// bring about.
package linesrv
