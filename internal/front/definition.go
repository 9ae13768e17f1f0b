package front

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"corianderspool.example/spool/pkg/spool"
)

const (
	namePrefix = "cs_"
	nameSize   = 16 // bytes of a hash in a statement's name

	// A name that is never prepared; to close it is harmless.
	closedName = namePrefix + "closed"
)

// definition is a caller's prepared statement.
type definition struct {
	spool.Statement
	traits
}

// own returns the statement that the proxy answers itself, or nil.
func (definition *definition) own(lost bool) *ownStatement {
	return definition.traits.ownAnswer(lost)
}

// ownAnswer returns the statement that the proxy answers itself, or nil; lost tells that the transaction's server is gone.
func (traits *traits) ownAnswer(lost bool) *ownStatement {
	switch {
	case traits.own != nil:
		return traits.own
	case traits.empty:
		return emptyStatement
	case lost && traits.ends:
		return rollbackStatement
	}
	return nil
}

// statementName returns the name under which servers prepare a statement; equal statements share it. Names have to be
// safe from collisions that a caller makes on purpose, since all teams share the connections.
func statementName(query string, oids []uint32) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(query))
	var number [4]byte
	_, _ = hash.Write(number[:1])
	for _, oid := range oids {
		binary.BigEndian.PutUint32(number[:], oid)
		_, _ = hash.Write(number[:])
	}
	var sum [sha256.Size]byte
	hash.Sum(sum[:0])
	return namePrefix + hex.EncodeToString(sum[:nameSize])
}

// definitions are the prepared statements of one caller, and its portals of statements that the proxy answers itself.
type definitions struct {
	named   map[string]*definition
	portals map[string]*ownStatement
	size    int // bytes of all texts
}

func newDefinitions() definitions {
	return definitions{named: map[string]*definition{}, portals: map[string]*ownStatement{}}
}

// put stores a definition in place of an earlier one and tells whether the limits allow it.
func (definitions *definitions) put(name string, added *definition, settings *settings) bool {
	definitions.remove(name)
	if len(definitions.named) >= settings.statements || definitions.size+len(added.Query) > settings.cycleSize {
		return false
	}
	definitions.named[name] = added
	definitions.size += len(added.Query)
	return true
}

func (definitions *definitions) remove(name string) {
	if old, found := definitions.named[name]; found {
		definitions.size -= len(old.Query)
		delete(definitions.named, name)
	}
}
