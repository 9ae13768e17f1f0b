// Package node runs a proxy: it executes the effects of the core and dispatches the work of callers.
package node
