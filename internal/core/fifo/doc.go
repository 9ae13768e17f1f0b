// Package fifo keeps waiting entries in the order of their arrival without
// allocating in steady state.
package fifo
