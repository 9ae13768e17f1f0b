package regsrv

import (
	"slices"
	"sync"

	"corianderspool.example/spool/pkg/spool"
)

// store holds the replication log, the values derived from it and the server's role.
type store struct {
	mutex                sync.Mutex
	log                  []Record
	values               map[string][]string
	termHistory          []TermStart
	primary              bool
	highestRequestedTerm spool.Term // highest term named by a PROMOTE or FOLLOW
	roleGeneration       uint64     // incremented at each role change; records pulled under an earlier one are dropped
	transactions         uint64
	changed              chan struct{}
}

func newStore() *store {
	return &store{values: map[string][]string{}, changed: make(chan struct{})}
}

// status is the server's role, its term and the end of its log.
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
	current := status{Position: store.endPosition(), Primary: store.primary}
	if len(store.termHistory) > 0 {
		last := store.termHistory[len(store.termHistory)-1]
		current.Term = last.Term
		current.Start = last.Start
	}
	return current
}

func (store *store) endPosition() spool.Position {
	return spool.Position(len(store.log))
}

// read returns the values of a key as seen by a transaction with the given pending writes.
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

// commit applies a transaction atomically; it fails on a replica or if a key to PUT already has a value.
func (store *store) commit(record Record) (status, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.primary {
		return status{}, errReadOnly
	}
	for _, write := range record.Writes {
		if !write.Append && len(store.values[write.Key]) > 0 {
			return status{}, duplicateKeyError(write.Key)
		}
	}
	record.Term = store.statusLocked().Term
	record.Position = store.endPosition() + 1
	store.append(record)
	return store.statusLocked(), nil
}

// append adds a record to the log and applies it; the caller holds the mutex.
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

// broadcast wakes all goroutines that wait for a change; the caller holds the mutex.
func (store *store) broadcast() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// promote makes the server the primary of a new term; it does nothing if the server already is that term's primary and
// fails if the term is stale.
func (store *store) promote(term spool.Term) (status, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current := store.statusLocked()
	if store.primary && current.Term == term {
		return current, nil
	}
	if term <= current.Term || term < store.highestRequestedTerm {
		return status{}, staleTermError(term)
	}
	store.highestRequestedTerm = term
	store.primary = true
	store.roleGeneration++
	store.termHistory = append(store.termHistory, TermStart{Term: term, Start: store.endPosition()})
	store.broadcast()
	return store.statusLocked(), nil
}

// demote makes the server a replica in a term and returns the new role generation; it fails if the term is stale or if
// the server is that term's primary.
func (store *store) demote(term spool.Term) (uint64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current := store.statusLocked()
	if term < max(current.Term, store.highestRequestedTerm) || store.primary && term == current.Term {
		return 0, staleTermError(term)
	}
	store.highestRequestedTerm = term
	store.primary = false
	store.roleGeneration++
	store.broadcast()
	return store.roleGeneration, nil
}

// adoptHistory replaces the term history by the primary's and truncates the log where it diverges from the primary's;
// it reports false if the server's role has changed.
func (store *store) adoptHistory(terms []TermStart, end spool.Position, generation uint64) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if generation != store.roleGeneration {
		return false
	}
	commonEnd := commonPrefix(store.termHistory, store.endPosition(), terms, end)
	if commonEnd < store.endPosition() {
		store.log = slices.Clone(store.log[:commonEnd])
		store.values = map[string][]string{}
		for _, record := range store.log {
			store.apply(record)
		}
	}
	store.termHistory = slices.Clone(terms)
	store.broadcast()
	return true
}

// commonPrefix returns the position up to which two logs with these term histories agree.
func commonPrefix(own []TermStart, ownEnd spool.Position, other []TermStart, otherEnd spool.Position) spool.Position {
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

// replicate appends a record of the primary; it reports false if the record does not directly follow the end of the log
// or the server's role has changed.
func (store *store) replicate(record Record, generation uint64) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	newest := store.statusLocked().Term
	if generation != store.roleGeneration || record.Term > newest || record.Position != store.endPosition()+1 {
		return false
	}
	store.append(record)
	return true
}

// recordsAfter returns up to limit records after a position, whether the server is primary, and a channel that is
// closed on the next change.
func (store *store) recordsAfter(after spool.Position, limit int) ([]Record, bool, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if after >= store.endPosition() {
		return nil, store.primary, store.changed
	}
	records := store.log[after:min(store.endPosition(), after+spool.Position(limit))]
	return slices.Clone(records), store.primary, store.changed
}

// termsAndEnd returns the term history, the end of the log and whether the server is primary.
func (store *store) termsAndEnd() ([]TermStart, spool.Position, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return slices.Clone(store.termHistory), store.endPosition(), store.primary
}

// appliedWrites returns every write in the log.
func (store *store) appliedWrites() []AppliedWrite {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	applied := []AppliedWrite{}
	for _, record := range store.log {
		for _, write := range record.Writes {
			applied = append(applied, AppliedWrite{
				Position: record.Position, Term: record.Term, Key: write.Key, Value: write.Value,
				Connection: record.Connection, Transaction: record.Transaction,
			})
		}
	}
	return applied
}
