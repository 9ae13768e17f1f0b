// Package kvsrv is a stand-in for the operators' platform: the store of objects
// over HTTP and the orders of promotion, with the faults that tests bring about.
package kvsrv
