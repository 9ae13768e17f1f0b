package node

import "sync"

// registry is a concurrent map that is read much more often than changed.
type registry[Key comparable, Value any] struct {
	mutex  sync.RWMutex
	values map[Key]Value
}

func (registry *registry[Key, Value]) get(key Key) (Value, bool) {
	registry.mutex.RLock()
	defer registry.mutex.RUnlock()
	value, known := registry.values[key]
	return value, known
}

// getOrCreate returns the value of a key and creates it first if there is none.
func (registry *registry[Key, Value]) getOrCreate(key Key, create func() Value) Value {
	if value, known := registry.get(key); known {
		return value
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if value, known := registry.values[key]; known {
		return value
	}
	if registry.values == nil {
		registry.values = map[Key]Value{}
	}
	value := create()
	registry.values[key] = value
	return value
}

func (registry *registry[Key, Value]) set(key Key, value Value) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.values == nil {
		registry.values = map[Key]Value{}
	}
	registry.values[key] = value
}

// remove deletes a key and returns its value.
func (registry *registry[Key, Value]) remove(key Key) (Value, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	value, known := registry.values[key]
	delete(registry.values, key)
	return value, known
}

func (registry *registry[Key, Value]) all() map[Key]Value {
	registry.mutex.RLock()
	defer registry.mutex.RUnlock()
	copied := make(map[Key]Value, len(registry.values))
	for key, value := range registry.values {
		copied[key] = value
	}
	return copied
}
