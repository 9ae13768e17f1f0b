// Package sock opens TCP connections that notice a silent far end within a bounded time.
package sock
