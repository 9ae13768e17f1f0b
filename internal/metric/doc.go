// Package metric counts and measures for Prometheus what a proxy does.
package metric
