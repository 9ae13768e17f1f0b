// Package policy decides which manifests are in force and answers lookups in them.
package policy
