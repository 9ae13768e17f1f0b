// Package slope measures the cost of the proxy's parts at several sizes and fits a line to each series of results.
package slope
