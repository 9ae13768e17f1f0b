// Package draw plots the measures of the benches.
package draw
