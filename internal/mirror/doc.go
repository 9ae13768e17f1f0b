// Package mirror keeps a local copy of one kind of objects of the store.
package mirror
