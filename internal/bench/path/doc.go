// Package path measures what the way through the proxy costs: small queries direct to a server and through the proxy,
// in pairs of runs next to each other.
package path
