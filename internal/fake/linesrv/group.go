package linesrv

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Run is a statement of a caller that a server ran.
type Run struct {
	Server spool.Server
	ID     string
	Text   string
	Team   string
	Values map[string]string
	Shape  string // of the prepared statement
	InTx   bool
	At     time.Time
}

// Group is a primary and its replicas with one log.
type Group struct {
	Name string

	mutex    sync.Mutex
	servers  []*Server
	primary  *Server
	term     uint64
	log      []write // of the primary
	runs     []Run
	isolated bool // the primary reaches no replica
}

// write is an entry of the log.
type write struct {
	term uint64
	item string
	data string
}

// NewGroup starts servers with these names; the first is the primary.
func NewGroup(name string, servers ...spool.Server) (*Group, error) {
	group := &Group{Name: name, term: 1}
	for _, id := range servers {
		server := &Server{ID: id, group: group, Limit: defaultLimit, Slots: defaultSlots}
		if err := server.Start(); err != nil {
			return nil, err
		}
		group.servers = append(group.servers, server)
	}
	group.primary = group.servers[0]
	return group, nil
}

// Close ends all servers.
func (group *Group) Close() {
	for _, server := range group.servers {
		server.Kill()
	}
}

// Server returns the server of a name.
func (group *Group) Server(id spool.Server) *Server {
	index := slices.IndexFunc(group.servers, func(server *Server) bool { return server.ID == id })
	return group.servers[index]
}

// Servers returns all servers.
func (group *Group) Servers() []*Server { return group.servers }

// Primary returns the name of the primary.
func (group *Group) Primary() spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.primary.ID
}

// Promote makes a server lead the next term with what it has received.
func (group *Group) Promote(id spool.Server) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	chosen := group.Server(id)
	if chosen == group.primary {
		return
	}
	group.log = group.log[:chosen.received]
	group.term++
	group.primary = chosen
	group.isolated = false
	chosen.paused = 0
	for _, server := range group.servers {
		server.received = min(server.received, len(group.log))
		server.applied = min(server.applied, len(group.log))
	}
}

// Isolate cuts the primary off its replicas until another server is promoted: its commits are never confirmed.
func (group *Group) Isolate() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.isolated = true
}

// Paused returns the servers that were told to receive nothing.
func (group *Group) Paused() []spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var paused []spool.Server
	for _, server := range group.servers {
		if server.paused > 0 {
			paused = append(paused, server.ID)
		}
	}
	return paused
}

// Runs returns the statements of callers that servers ran so far.
func (group *Group) Runs() []Run {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return slices.Clone(group.runs)
}

// Written returns the values that an item was given, in order.
func (group *Group) Written(item string) []string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var values []string
	for _, write := range group.log {
		if write.item == item {
			values = append(values, write.data)
		}
	}
	return values
}

// All returns all values that were written, in order.
func (group *Group) All() []string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var values []string
	for _, write := range group.log {
		values = append(values, write.data)
	}
	return values
}

// commit appends writes to the log and replicates them; the caller holds the mutex.
func (group *Group) commit(writes []write) bool {
	for i := range writes {
		writes[i].term = group.term
	}
	group.log = append(group.log, writes...)
	group.primary.received, group.primary.applied = len(group.log), len(group.log)
	confirmed := false
	for _, server := range group.servers {
		if server == group.primary || server.paused > 0 || server.down || group.isolated {
			continue
		}
		server.received = len(group.log)
		confirmed = true
		if !server.Lagging {
			server.applied = len(group.log)
		}
	}
	return confirmed
}

// position returns the place in the log after a number of entries.
func (group *Group) position(entries int) string {
	term := uint64(1)
	if entries > 0 {
		term = group.log[entries-1].term
	}
	return fmt.Sprintf("%d.%d", max(term, 1), entries)
}
