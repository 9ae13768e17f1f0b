// Package soak runs proxies as separate processes, injects random faults into
// them, their connections, the store and the backend servers, and checks the
// guarantees against what callers and servers observe.
package soak
