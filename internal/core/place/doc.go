// Package place balances reads over the backend servers of a group.
//
// It handles uneven load on few slots, servers at different distances, and
// servers that become slow or fail while they still accept connections.
package place
