package linesrv

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Execution is a statement of a caller that a server executed.
type Execution struct {
	Server        spool.Server
	ID            string
	Text          string
	Team          string
	SessionValues map[string]string
	PreparedText  string // text of the prepared statement, if the caller executed one
	InTransaction bool
	At            time.Time
}

// Group is a primary and its replicas with their replicated log.
type Group struct {
	Name string

	mutex           sync.Mutex
	servers         []*Server
	primary         *Server
	term            uint64
	log             []logEntry // of the primary
	executions      []Execution
	primaryIsolated bool // writes of the primary reach no replica
}

// logEntry is a write in the log.
type logEntry struct {
	term uint64
	item string
	data string
}

// NewGroup starts servers with these IDs; the first is the primary. It fails if one cannot listen.
func NewGroup(name string, servers ...spool.Server) (*Group, error) {
	group := &Group{Name: name, term: 1}
	for _, id := range servers {
		server := &Server{ID: id, group: group, MaxConnections: defaultMaxConnections, Slots: defaultSlots}
		if err := server.Start(); err != nil {
			return nil, err
		}
		group.servers = append(group.servers, server)
	}
	group.primary = group.servers[0]
	return group, nil
}

// Add starts a replica that holds the primary's log; it fails if it cannot listen.
func (group *Group) Add(id spool.Server) (*Server, error) {
	server := &Server{ID: id, group: group, MaxConnections: defaultMaxConnections, Slots: defaultSlots}
	if err := server.Start(); err != nil {
		return nil, err
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	server.receivedEntries, server.appliedEntries = len(group.log), len(group.log)
	group.servers = append(group.servers, server)
	return server, nil
}

// Close stops all servers.
func (group *Group) Close() {
	for _, server := range group.servers {
		server.Kill()
	}
}

// Server returns the server with an ID, which must exist.
func (group *Group) Server(id spool.Server) *Server {
	index := slices.IndexFunc(group.servers, func(server *Server) bool { return server.ID == id })
	return group.servers[index]
}

// Servers returns all servers.
func (group *Group) Servers() []*Server { return group.servers }

// Primary returns the ID of the primary.
func (group *Group) Primary() spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.primary.ID
}

// Promote makes a server the primary of the next term; log entries that it has not received are lost.
func (group *Group) Promote(id spool.Server) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	promoted := group.Server(id)
	if promoted == group.primary {
		return
	}
	group.log = group.log[:promoted.receivedEntries]
	group.term++
	group.primary = promoted
	group.primaryIsolated = false
	promoted.pausedTerm = 0
	for _, server := range group.servers {
		server.receivedEntries = min(server.receivedEntries, len(group.log))
		server.appliedEntries = min(server.appliedEntries, len(group.log))
	}
}

// IsolatePrimary stops replication until another server is promoted, so that no replica confirms a commit.
func (group *Group) IsolatePrimary() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.primaryIsolated = true
}

// PausedServers returns the servers on which a supervisor has paused replication.
func (group *Group) PausedServers() []spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var paused []spool.Server
	for _, server := range group.servers {
		if server.pausedTerm > 0 {
			paused = append(paused, server.ID)
		}
	}
	return paused
}

// Executions returns the statements of callers that servers have executed.
func (group *Group) Executions() []Execution {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return slices.Clone(group.executions)
}

// WrittenValues returns the values written to an item, in log order.
func (group *Group) WrittenValues(item string) []string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var values []string
	for _, entry := range group.log {
		if entry.item == item {
			values = append(values, entry.data)
		}
	}
	return values
}

// AllWrittenValues returns the values written to any item, in log order.
func (group *Group) AllWrittenValues() []string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var values []string
	for _, entry := range group.log {
		values = append(values, entry.data)
	}
	return values
}

// commit appends entries to the log, replicates them and returns whether a replica confirmed; the caller holds the mutex.
func (group *Group) commit(entries []logEntry) bool {
	for i := range entries {
		entries[i].term = group.term
	}
	group.log = append(group.log, entries...)
	group.primary.receivedEntries, group.primary.appliedEntries = len(group.log), len(group.log)
	confirmed := false
	for _, server := range group.servers {
		if server == group.primary || server.pausedTerm > 0 || server.down || server.deaf || group.primaryIsolated {
			continue
		}
		server.receivedEntries = len(group.log)
		confirmed = true
		if !server.Lagging {
			server.appliedEntries = len(group.log)
		}
	}
	return confirmed
}

// position returns the log position, as "term.entries", after a number of entries.
func (group *Group) position(entries int) string {
	term := uint64(1)
	if entries > 0 {
		term = group.log[entries-1].term
	}
	return fmt.Sprintf("%d.%d", max(term, 1), entries)
}
