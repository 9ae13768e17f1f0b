package regsrv

import (
	"slices"
	"sync"

	"corianderspool.example/spool/pkg/spool"
)

// store is the replication log, the keys it yields and the server's role.
type store struct {
	mutex        sync.Mutex
	log          []Record
	values       map[string][]string
	terms        []TermStart
	primary      bool
	ordered      spool.Term // highest term that an order named
	generation   uint64     // counts changes of role; what an earlier one replicates is dropped
	transactions uint64
	changed      chan struct{}
}

func newStore() *store {
	return &store{values: map[string][]string{}, changed: make(chan struct{})}
}

// status is the server's own view of its role.
type status struct {
	Term     spool.Term
	Position spool.Position
	Primary  bool
	Start    spool.Position
}

func (store *store) status() status {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.statusLocked()
}

func (store *store) statusLocked() status {
	current := status{Position: store.end(), Primary: store.primary}
	if len(store.terms) > 0 {
		last := store.terms[len(store.terms)-1]
		current.Term = last.Term
		current.Start = last.Start
	}
	return current
}

func (store *store) end() spool.Position {
	return spool.Position(len(store.log))
}

// read returns the values of a key, as a transaction with the pending writes sees them.
func (store *store) read(key string, pending []Write) []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	values := slices.Clone(store.values[key])
	for _, write := range pending {
		if write.Key == key {
			values = append(values, write.Value)
		}
	}
	return values
}

func (store *store) nextTransaction() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.transactions++
	return store.transactions
}

func (store *store) isPrimary() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.primary
}

// commit applies a transaction whole, or fails on a replica or if a key to put once exists.
func (store *store) commit(record Record) (status, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.primary {
		return status{}, errReadOnly
	}
	for _, write := range record.Writes {
		if !write.Append && len(store.values[write.Key]) > 0 {
			return status{}, duplicateKey(write.Key)
		}
	}
	record.Term = store.statusLocked().Term
	record.Position = store.end() + 1
	store.append(record)
	return store.statusLocked(), nil
}

// append adds a record to the log; the caller holds the mutex.
func (store *store) append(record Record) {
	store.log = append(store.log, record)
	store.apply(record)
	store.broadcast()
}

func (store *store) apply(record Record) {
	for _, write := range record.Writes {
		store.values[write.Key] = append(store.values[write.Key], write.Value)
	}
}

// broadcast wakes all that wait for a change; the caller holds the mutex.
func (store *store) broadcast() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// promote opens a term, or does nothing if the server is that term's primary already.
func (store *store) promote(term spool.Term) (status, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current := store.statusLocked()
	if store.primary && current.Term == term {
		return current, nil
	}
	if term <= current.Term || term < store.ordered {
		return status{}, staleTerm(term)
	}
	store.ordered = term
	store.primary = true
	store.generation++
	store.terms = append(store.terms, TermStart{Term: term, Start: store.end()})
	store.broadcast()
	return store.statusLocked(), nil
}

// demote makes the server a replica in a term and returns the new generation, or fails if the term is an earlier one or
// the server's own.
func (store *store) demote(term spool.Term) (uint64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current := store.statusLocked()
	if term < max(current.Term, store.ordered) || store.primary && term == current.Term {
		return 0, staleTerm(term)
	}
	store.ordered = term
	store.primary = false
	store.generation++
	store.broadcast()
	return store.generation, nil
}

// adopt takes over the primary's history of terms and drops what the primary's log does not have; it reports false if
// the server's role has changed.
func (store *store) adopt(terms []TermStart, end spool.Position, generation uint64) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if generation != store.generation {
		return false
	}
	common := commonEnd(store.terms, store.end(), terms, end)
	if common < store.end() {
		store.log = slices.Clone(store.log[:common])
		store.values = map[string][]string{}
		for _, record := range store.log {
			store.apply(record)
		}
	}
	store.terms = slices.Clone(terms)
	store.broadcast()
	return true
}

// commonEnd returns the position up to which two logs with these histories of terms are equal.
func commonEnd(own []TermStart, ownEnd spool.Position, other []TermStart, otherEnd spool.Position) spool.Position {
	for i := 0; ; i++ {
		if i < len(own) && i < len(other) && own[i] == other[i] {
			continue
		}
		if i < len(own) {
			ownEnd = own[i].Start
		}
		if i < len(other) {
			otherEnd = other[i].Start
		}
		return min(ownEnd, otherEnd)
	}
}

// replicate appends a record of the primary and reports if it fits the end of the log.
func (store *store) replicate(record Record, generation uint64) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	newest := store.statusLocked().Term
	if generation != store.generation || record.Term > newest || record.Position != store.end()+1 {
		return false
	}
	store.append(record)
	return true
}

// tail returns up to limit records after a position, whether the server is primary, and a channel that closes on a
// change.
func (store *store) tail(after spool.Position, limit int) ([]Record, bool, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if after >= store.end() {
		return nil, store.primary, store.changed
	}
	records := store.log[after:min(store.end(), after+spool.Position(limit))]
	return slices.Clone(records), store.primary, store.changed
}

// history returns the terms, the end of the log and whether the server is primary.
func (store *store) history() ([]TermStart, spool.Position, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return slices.Clone(store.terms), store.end(), store.primary
}

// applied lists every write in the log.
func (store *store) applied() []Applied {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	applied := []Applied{}
	for _, record := range store.log {
		for _, write := range record.Writes {
			applied = append(applied, Applied{
				Position: record.Position, Term: record.Term, Key: write.Key, Value: write.Value,
				Connection: record.Connection, Transaction: record.Transaction,
			})
		}
	}
	return applied
}
