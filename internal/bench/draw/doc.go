// Package draw plots the results of the benchmarks.
package draw
