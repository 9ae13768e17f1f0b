package route

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	sampleCount    = 64
	sampleInterval = 20 * time.Millisecond
)

// Server is a table's state of one backend server.
type Server struct {
	Name     spool.Server
	Term     spool.Term
	Position spool.Position
	Up       bool
	Leaving  bool
}

// TermStart is the position at which a term started.
type TermStart struct {
	Term  spool.Term
	Start spool.Position
}

// ServerSet is a bit set of indices of a table's servers.
type ServerSet uint64

// Has reports whether the set contains index.
func (set ServerSet) Has(index int) bool { return set&(1<<index) != 0 }

// With returns the set including index.
func (set ServerSet) With(index int) ServerSet { return set | 1<<index }

// Table holds the state of a group's servers from which Pick selects; it is not safe for concurrent use.
type Table struct {
	Servers []Server
	Primary int // index of the primary; negative while no term is open
	Current TermStart
	History []TermStart // earlier terms, oldest first
	Acked   spool.Position

	samples    [sampleCount]sample
	nextSample int
}

// sample records that the primary was at or before a position at an instant.
type sample struct {
	at       spool.Instant
	position spool.Position
	valid    bool
}

// New returns a table of the servers without an open term.
func New(servers []spool.ServerSpec) *Table {
	table := &Table{Primary: -1}
	table.SetServers(servers)
	return table
}

// SetServers replaces the list of servers and keeps the state of those that remain.
func (table *Table) SetServers(specs []spool.ServerSpec) {
	var primary spool.Server
	if table.Primary >= 0 {
		primary = table.Servers[table.Primary].Name
	}
	servers := make([]Server, len(specs))
	for i, spec := range specs {
		if old := table.Index(spec.Name); old >= 0 {
			servers[i] = table.Servers[old]
		}
		servers[i].Name = spec.Name
		servers[i].Leaving = spec.Leaving
	}
	table.Servers = servers
	table.Primary = table.Index(primary)
}

// Index returns the index of a server, or -1.
func (table *Table) Index(name spool.Server) int {
	for i := range table.Servers {
		if table.Servers[i].Name == name {
			return i
		}
	}
	return -1
}

// OpenTerm starts a term on a primary.
func (table *Table) OpenTerm(primary spool.Server, start TermStart) {
	if start.Term > table.Current.Term {
		if table.Current.Term > 0 {
			table.History = append(table.History, table.Current)
		}
		table.samples = [sampleCount]sample{}
		table.Acked = start.Start
	}
	table.Current = start
	table.Primary = table.Index(primary)
}

// CloseTerm ends the open term: no primary answers until the next OpenTerm.
func (table *Table) CloseTerm() { table.Primary = -1 }

// RecordStatus records a status that was requested at sentAt.
func (table *Table) RecordStatus(status spool.ServerStatus, sentAt spool.Instant) {
	index := table.Index(status.Server)
	if index < 0 {
		return
	}
	server := &table.Servers[index]
	server.Up = true
	if status.Term < server.Term {
		return
	}
	if status.Term > server.Term {
		server.Term = status.Term
		server.Position = status.Position
	}
	server.Position = max(server.Position, status.Position)
	if index == table.Primary && status.Term == table.Current.Term {
		table.addSample(sentAt, status.Position)
	}
}

// MarkDown records that a server did not answer.
func (table *Table) MarkDown(name spool.Server) {
	if index := table.Index(name); index >= 0 {
		table.Servers[index].Up = false
	}
}

// RecordAcknowledged records the position of an acknowledged write of the open term.
func (table *Table) RecordAcknowledged(term spool.Term, position spool.Position) {
	if term != table.Current.Term {
		return
	}
	table.Acked = max(table.Acked, position)
	if table.Primary >= 0 {
		server := &table.Servers[table.Primary]
		server.Position = max(server.Position, position)
	}
}

func (table *Table) addSample(at spool.Instant, position spool.Position) {
	last := table.samples[(table.nextSample+sampleCount-1)%sampleCount]
	if last.valid && at.Sub(last.at) < sampleInterval {
		return
	}
	table.samples[table.nextSample] = sample{at: at, position: position, valid: true}
	table.nextSample = (table.nextSample + 1) % sampleCount
}

// Age returns an upper bound of the age of the data at a position, and false if none is known.
func (table *Table) Age(position spool.Position, now spool.Instant) (time.Duration, bool) {
	newest := spool.Instant(0)
	found := false
	for i := range table.samples {
		sample := &table.samples[i]
		if !sample.valid || sample.position > position {
			continue
		}
		if !found || sample.at > newest {
			newest = sample.at
			found = true
		}
	}
	return now.Sub(newest), found
}

// Replicated reports whether a replica that is up holds a position of the open term.
func (table *Table) Replicated(term spool.Term, position spool.Position) bool {
	for i := range table.Servers {
		server := &table.Servers[i]
		if i != table.Primary && server.Up && server.Term == term && server.Position >= position {
			return true
		}
	}
	return false
}

// Survived reports whether the open term's log holds a position of an earlier term, and whether a term is open.
func (table *Table) Survived(term spool.Term, position spool.Position) (survived, open bool) {
	return position <= table.termEnd(term) || term == table.Current.Term, table.Primary >= 0
}
