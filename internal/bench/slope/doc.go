// Package slope measures what the proxy's parts cost at several sizes and fits a line through each.
package slope
