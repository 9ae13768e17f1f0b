// Package policy keeps the active manifest of each partner and answers lookups in the active manifests.
package policy
