package main

import (
	"fmt"
	"sync"
	"time"
)

// logEntry is a committed write; its number is its index in the log plus one.
type logEntry struct {
	term     uint64
	id       string // of the statement or the COMMIT
	item     string
	data     string
	appended time.Time // at the primary
}

// group is a primary and its replicas, which receive the log over links with a latency.
type group struct {
	name         string
	latency      func(from, to string) time.Duration // between zones, one way
	applyLag     time.Duration                       // of replicas
	promoteDelay time.Duration                       // from an accepted order until the named server leads
	changed      func(server *server)                // a server's role or state changed
	record       *record

	mutex     sync.Mutex
	servers   []*server
	primary   *server
	term      uint64
	ledSince  time.Time
	confirmed int               // entries that a replica confirmed to the primary
	lost      map[string]string // confirmed entries that a promotion dropped: why, by statement
	orders    int
}

func newGroup(name string, record *record, latency func(from, to string) time.Duration) *group {
	return &group{
		name: name, record: record, latency: latency, applyLag: 60 * time.Millisecond, promoteDelay: 600 * time.Millisecond,
		changed: func(*server) {}, term: 1, ledSince: time.Now(), lost: map[string]string{},
	}
}

// add starts a server; it holds the primary's log, as a server that was set up from a copy.
func (group *group) add(id, zone string, slots, connections int, work time.Duration) (*server, error) {
	added := &server{
		id: id, zone: zone, group: group, slots: slots, maxConnections: connections, work: work, state: "ready",
		born: time.Now().UnixMilli(), conns: map[*session]struct{}{}, ran: map[string]time.Time{},
	}
	if err := added.listen(); err != nil {
		return nil, err
	}
	group.mutex.Lock()
	if group.primary == nil {
		group.primary = added
	} else {
		added.log = append(added.log, group.primary.log...)
		for range added.log {
			added.received = append(added.received, time.Now())
		}
	}
	group.servers = append(group.servers, added)
	group.mutex.Unlock()
	go added.replicate()
	group.changed(added)
	return added, nil
}

func (group *group) server(id string) *server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, server := range group.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// drain marks a server as leaving; it goes on serving.
func (group *group) drain(server *server) {
	group.mutex.Lock()
	server.state = "draining"
	group.mutex.Unlock()
	group.record.note("server %s is draining", server.id)
	group.changed(server)
}

// order accepts an order of promotion, which takes effect after promoteDelay.
func (group *group) order(id string) bool {
	target := group.server(id)
	if target == nil {
		return false
	}
	group.mutex.Lock()
	group.orders++
	isPrimary := target == group.primary
	group.mutex.Unlock()
	group.record.note("order of promotion: %s", id)
	if !isPrimary {
		time.AfterFunc(group.promoteDelay, func() { group.promote(target) })
	}
	return true
}

// promote makes a server lead the next term with what it has received.
func (group *group) promote(target *server) {
	group.mutex.Lock()
	old := group.primary
	if old == target || target.gone {
		group.mutex.Unlock()
		return
	}
	for i := len(target.log); i < group.confirmed; i++ {
		entry := old.log[i]
		group.lost[entry.id] = fmt.Sprintf("commit %d.%d at %s, dropped when %s was promoted", entry.term, i+1, old.id, target.id)
	}
	for i := len(target.log); i < len(old.log); i++ {
		group.record.note("the promotion of %s drops commit %d.%d of statement %s (confirmed by a replica: %t)", target.id, old.log[i].term,
			i+1, old.log[i].id, i < group.confirmed)
	}
	group.term++
	group.primary, group.ledSince, group.confirmed = target, time.Now(), len(target.log)
	for _, server := range group.servers {
		server.pausedTerm = 0
		if len(server.log) > len(target.log) {
			server.log, server.received = server.log[:len(target.log)], server.received[:len(target.log)]
		}
	}
	term := group.term
	group.mutex.Unlock()
	group.record.note("%s leads term %d with %d commits; %s no longer leads", target.id, term, len(target.log), old.id)
	group.changed(target)
	group.changed(old)
}

// commit appends writes to the primary's log and waits until a replica confirms them; the caller holds the mutex, which is
// released while it waits.
func (group *group) commit(primary *server, writes []logEntry) (code string) {
	term := group.term
	for _, entry := range writes {
		entry.term, entry.appended = term, time.Now()
		primary.log = append(primary.log, entry)
		primary.received = append(primary.received, entry.appended)
	}
	number, deadline := len(primary.log), time.Now().Add(2*time.Second)
	for group.confirmed < number || group.term != term {
		if group.term != term || time.Now().After(deadline) {
			return "TIMEOUT"
		}
		group.mutex.Unlock()
		time.Sleep(replicationStep)
		group.mutex.Lock()
	}
	return ""
}

const replicationStep = 200 * time.Microsecond

// replicate receives the primary's log in order and confirms it, as long as this server is a replica that is not paused.
func (server *server) replicate() {
	group := server.group
	for range time.Tick(replicationStep) {
		group.mutex.Lock()
		primary := group.primary
		if server.gone {
			group.mutex.Unlock()
			return
		}
		if primary != server && server.pausedTerm == 0 && len(server.log) < len(primary.log) {
			latency, now := group.latency(primary.zone, server.zone), time.Now()
			for len(server.log) < len(primary.log) {
				entry := primary.log[len(server.log)]
				sent := entry.appended
				if sent.Before(server.resumed) {
					sent = server.resumed
				}
				if now.Sub(sent) < latency {
					break
				}
				server.log, server.received = append(server.log, entry), append(server.received, now)
				number, term := len(server.log), group.term
				time.AfterFunc(latency, func() { group.confirm(term, number) })
			}
		}
		group.mutex.Unlock()
	}
}

func (group *group) confirm(term uint64, number int) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.term == term {
		group.confirmed = max(group.confirmed, number)
	}
}
