// Package roster tracks which proxies of the fleet are live and which of them
// supervises a group.
//
// Liveness follows from heartbeats alone and no list of live proxies is stored, so
// any number of proxies may crash, freeze or be partitioned at any time.
package roster
