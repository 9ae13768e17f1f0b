// Package sock opens TCP connections that detect an unresponsive peer within a bounded time.
package sock
