// Package leader serves a database group on the proxy that holds its lease: connections, slots and acknowledgements.
package leader
