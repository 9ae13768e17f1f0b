// Package fifo provides a first-in, first-out queue that does not allocate in
// steady state.
package fifo
