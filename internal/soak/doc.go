// Package soak runs the programs as separate processes, injects random faults
// from outside, and checks the guarantees against what callers and backend
// servers observe.
package soak
