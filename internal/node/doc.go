// Package node is the running proxy: it carries out the core's effects and makes the decisions for the callers' side.
package node
