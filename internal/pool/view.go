package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/pkg/spool"
)

// GroupView is what the pool knows of a group.
type GroupView struct {
	Group          spool.Group
	Servers        []ServerView
	Primary        spool.Server
	Term           spool.Term
	LatestPosition fresh.Watermark   // newest dated position of the primary
	AckedPosition  spool.LogPosition // newest position that a commit is known to have been acknowledged at
	LastContact    spool.Instant     // when this proxy last reached the primary
	SyncReplicas   int
}

// ServerView is what the pool knows of a server.
type ServerView struct {
	spool.RegisteredServer
	Leaving   bool
	RoundTrip time.Duration
}

// View returns what is known of a group.
func (pool *Pool) View(name spool.Group) GroupView {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	view := GroupView{
		Group: name, Primary: group.primary, Term: group.term, LatestPosition: group.watermarks.Newest(), AckedPosition: group.acked,
		LastContact: group.contact, SyncReplicas: group.limits.SyncReplicas,
	}
	for _, server := range group.servers {
		if server.gone {
			continue
		}
		view.Servers = append(view.Servers, ServerView{
			RegisteredServer: server.spec, Leaving: server.leaving != 0, RoundTrip: server.distance,
		})
	}
	slices.SortFunc(view.Servers, func(left, right ServerView) int { return cmp.Compare(left.Server, right.Server) })
	return view
}

// Groups returns the names of the groups that have servers or limits.
func (pool *Pool) Groups() []spool.Group {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	names := make([]spool.Group, 0, len(pool.groups))
	for name := range pool.groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AckedPosition returns the newest position of a group that a commit was confirmed at here.
func (pool *Pool) AckedPosition(name spool.Group) spool.LogPosition {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).acked
}

// ProbePrimary tells if a server acts as the primary of a group now.
func (pool *Pool) ProbePrimary(name spool.Group, server spool.Server, team spool.Team) error {
	known := pool.find(name, server)
	if known == nil {
		return eris.Errorf("server %s of group %s is not registered", server, name)
	}
	return pool.ask(known, team, ProbeTimeout)
}

// RecentContact tells what this proxy saw of a group's primary of late without asking it: reached, or in vain since it last
// was; sure is false if neither.
func (pool *Pool) RecentContact(name spool.Group, id spool.Server) (reached, sure bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	server := group.servers[id]
	if server == nil || group.primary != id {
		return false, false
	}
	silence := pool.timers.Now().Sub(group.contact)
	if silence < ProbeTimeout/2 {
		return true, true
	}
	return false, server.health.ConsecutiveFailures() > 0 && silence > 2*ProbeTimeout
}

// Execute sends statements of the proxy itself to a server and returns its answers.
func (pool *Pool) Execute(
	name spool.Group, server spool.Server, team spool.Team, timeout time.Duration, commands ...spool.Command,
) ([]spool.Answer, error) {
	known := pool.find(name, server)
	if known == nil {
		return nil, eris.Errorf("server %s of group %s is not registered", server, name)
	}
	conn, err := pool.claim(known, team, timeout)
	if err != nil {
		return nil, err
	}
	defer pool.Release(conn)
	deadline := time.Now().Add(timeout)
	if err := conn.DiscardPending(deadline); err != nil {
		pool.RecordFailure(conn, err)
		return nil, err
	}
	if err := conn.Send(commands...); err != nil {
		pool.RecordFailure(conn, err)
		return nil, err
	}
	answers := make([]spool.Answer, 0, len(commands))
	for range commands {
		answer, err := conn.Receive(deadline)
		if err != nil {
			pool.RecordFailure(conn, err)
			return answers, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

func (pool *Pool) find(name spool.Group, id spool.Server) *server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).servers[id]
}

// HasAddress tells if a registered server has an address.
func (pool *Pool) HasAddress(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, group := range pool.groups {
		for _, server := range group.servers {
			if server.spec.Address == address {
				return true
			}
		}
	}
	return false
}
