// Package spool names the central types and interfaces of the proxy.
//
// Implementations live in packages below internal/; this package performs no
// input or output of its own.
package spool
