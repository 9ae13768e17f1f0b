package front

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"corianderspool.example/spool/pkg/spool"
)

const (
	serverNamePrefix = "cs_"
	serverNameSize   = 16 // bytes of the hash in a statement name

	// unpreparedName is a statement name that is never prepared; closing it on a server has no effect.
	unpreparedName = serverNamePrefix + "closed"
)

// preparedStatement is a prepared statement of a session.
type preparedStatement struct {
	spool.Statement
	traits
}

// localStatement returns the statement that the proxy answers itself, or nil.
func (preparedStatement *preparedStatement) localStatement(txLost bool) *localStatement {
	return preparedStatement.traits.localStatement(txLost)
}

// localStatement returns the statement that the proxy answers itself, or nil. txLost means that the server was lost
// during the transaction.
func (traits *traits) localStatement(txLost bool) *localStatement {
	switch {
	case traits.local != nil:
		return traits.local
	case traits.empty:
		return emptyStatement
	case txLost && traits.endsTx:
		return rollbackStatement
	}
	return nil
}

// serverStatementName returns the name under which servers prepare a statement; equal statements share it. It is a
// cryptographic hash, because all teams share the connections and a caller must not be able to construct a collision.
func serverStatementName(query string, oids []uint32) string {
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
	return serverNamePrefix + hex.EncodeToString(sum[:serverNameSize])
}

// preparedStore holds the prepared statements of a session and its portals of statements that the proxy answers itself.
type preparedStore struct {
	byName       map[string]*preparedStatement
	localPortals map[string]*localStatement
	queryBytes   int // total size of all query strings
}

func newPreparedStore() preparedStore {
	return preparedStore{byName: map[string]*preparedStatement{}, localPortals: map[string]*localStatement{}}
}

// put stores a prepared statement, replacing one of the same name, and reports whether the limits allow it.
func (preparedStore *preparedStore) put(
	name string, preparedStatement *preparedStatement, settings *settings,
) bool {
	preparedStore.remove(name)
	if len(preparedStore.byName) >= settings.maxStatements ||
		preparedStore.queryBytes+len(preparedStatement.Query) > settings.maxCycleSize {
		return false
	}
	preparedStore.byName[name] = preparedStatement
	preparedStore.queryBytes += len(preparedStatement.Query)
	return true
}

func (preparedStore *preparedStore) remove(name string) {
	if old, found := preparedStore.byName[name]; found {
		preparedStore.queryBytes -= len(old.Query)
		delete(preparedStore.byName, name)
	}
}
