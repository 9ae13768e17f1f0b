package core

import (
	"cmp"
	"slices"
)

// ordered is a map whose values also stand in the order of their keys, so that equal events have equal effects.
type ordered[Key cmp.Ordered, Value any] struct {
	values map[Key]Value
	keys   []Key
	sorted []Value
}

func newOrdered[Key cmp.Ordered, Value any]() ordered[Key, Value] {
	return ordered[Key, Value]{values: map[Key]Value{}}
}

// get returns the value of a key, or zero.
func (ordered *ordered[Key, Value]) get(key Key) Value { return ordered.values[key] }

// add puts in the value of a new key.
func (ordered *ordered[Key, Value]) add(key Key, value Value) {
	place, _ := slices.BinarySearch(ordered.keys, key)
	ordered.keys = slices.Insert(ordered.keys, place, key)
	ordered.sorted = slices.Insert(ordered.sorted, place, value)
	ordered.values[key] = value
}
