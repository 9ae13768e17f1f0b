// Package plain is a gate without decisions, for tests and benchmarks: it runs all work on one server, over a pool of
// connections without a bound.
package plain
