// Package spool defines the central types and interfaces of the proxy.
//
// Implementations live in packages below internal/; this package performs no
// input or output itself.
package spool
