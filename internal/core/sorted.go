package core

import (
	"cmp"
	"slices"
)

// sortedMap is a map that also keeps its values in key order, so that equal events have equal effects.
type sortedMap[Key cmp.Ordered, Value any] struct {
	values map[Key]Value
	keys   []Key
	sorted []Value
}

func newSortedMap[Key cmp.Ordered, Value any]() sortedMap[Key, Value] {
	return sortedMap[Key, Value]{values: map[Key]Value{}}
}

// get returns the value of a key, or the zero value.
func (sortedMap *sortedMap[Key, Value]) get(key Key) Value { return sortedMap.values[key] }

// add inserts a key that must be new.
func (sortedMap *sortedMap[Key, Value]) add(key Key, value Value) {
	index, _ := slices.BinarySearch(sortedMap.keys, key)
	sortedMap.keys = slices.Insert(sortedMap.keys, index, key)
	sortedMap.sorted = slices.Insert(sortedMap.sorted, index, value)
	sortedMap.values[key] = value
}
