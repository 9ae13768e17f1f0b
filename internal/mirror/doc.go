// Package mirror maintains a local copy of the store's objects of one kind.
package mirror
