// Package soak runs the real programs as separate processes, breaks them from
// outside at random, and checks the promises from what callers and backend
// servers see.
package soak
