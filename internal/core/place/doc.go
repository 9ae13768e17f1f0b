// Package place balances reads over the backend servers of a group and limits
// the load and the connections of a proxy on each of them.
//
// It handles uneven load on few slots, servers at different distances, and
// servers that become slow or fail while they still accept connections.
package place
