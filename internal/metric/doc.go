// Package metric holds the Prometheus metrics of a proxy.
package metric
