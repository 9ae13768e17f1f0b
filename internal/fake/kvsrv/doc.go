// Package kvsrv is a fake of the operators' platform for tests: an object store
// over HTTP and the promotion endpoint, with injected faults.
package kvsrv
