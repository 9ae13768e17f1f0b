// Package place chooses the backend server of a read.
//
// Load it answers: uneven work on few slots, servers at different distances,
// and servers that turn slow or fail while they still accept connections.
package place
