package kvsrv

import (
	"maps"
	"net/http"
	"strconv"
)

const eraHeader = "Store-Era"

// Snapshot is a copy of the store's data at one time.
type Snapshot struct {
	objects  map[string]map[string]Object
	revision uint64
}

// Era returns the era that answers announce; zero if they announce none.
func (server *Server) Era() uint64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.era
}

// SetEra sets the era that answers announce from now on; zero for none.
func (server *Server) SetEra(era uint64) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.era = era
}

// Snapshot returns a copy of the data for FallBack.
func (server *Server) Snapshot() Snapshot {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return Snapshot{objects: cloneObjects(server.objects), revision: server.revision}
}

// FallBack restores a copy, as after the loss of the newer data: the revision falls to that of the copy, the history is gone,
// and the era rises by one.
func (server *Server) FallBack(snapshot Snapshot) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.objects, server.revision = cloneObjects(snapshot.objects), snapshot.revision
	server.history, server.compacted = nil, snapshot.revision
	server.era++
	close(server.changed)
	server.changed = make(chan struct{})
}

// Body returns the body of an object, empty if it does not exist.
func (server *Server) Body(kind, name string) string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return string(server.objects[kind][name].Spec)
}

// FencingToken returns the greatest fencing token that was used for a group.
func (server *Server) FencingToken(group string) uint64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fencingTokens[group]
}

// SharedTokens returns the number of promotion requests whose fencing token another holder had used before.
func (server *Server) SharedTokens() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.sharedTokens
}

// tokenUse is a fencing token used for a group.
type tokenUse struct {
	group string
	token uint64
}

// recordToken records which holder used a fencing token.
func (server *Server) recordToken(use tokenUse, holder string) {
	if first, used := server.tokenHolders[use]; used && first != holder {
		server.sharedTokens++
		return
	}
	server.tokenHolders[use] = holder
}

func (server *Server) setEraHeader(header http.Header) {
	if server.faults.EraHeader != "" {
		header.Set(eraHeader, server.faults.EraHeader)
		return
	}
	if server.era > 0 {
		header.Set(eraHeader, strconv.FormatUint(server.era, 10))
	}
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	clone := make(map[string]map[string]Object, len(objects))
	for kind, named := range objects {
		clone[kind] = maps.Clone(named)
	}
	return clone
}
