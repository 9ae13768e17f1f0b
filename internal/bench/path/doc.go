// Package path measures the overhead of the proxy's data path: it runs small queries directly against a server and
// through the proxy, in pairs of consecutive runs.
package path
