// Package linesrv is a fake of a group of backend servers for tests. They speak the
// line protocol: a primary and its replicas, with injected faults.
package linesrv
