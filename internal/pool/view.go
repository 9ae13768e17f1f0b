package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/pkg/spool"
)

// GroupView is a snapshot of what the pool knows about a group.
type GroupView struct {
	Group           spool.Group
	Servers         []ServerView
	Primary         spool.Server
	Term            spool.Term
	NewestWatermark fresh.Watermark
	AckedPosition   spool.LogPosition // newest commit that this proxy acknowledged
	LastContact     spool.Instant     // when the primary last answered this proxy as such; zero if it has not
	SyncReplicas    int
}

// ServerView is a snapshot of what the pool knows about a server.
type ServerView struct {
	spool.RegisteredServer
	Leaving    bool
	Retired    bool // it has been leaving for so long that it gets no new work
	Evacuated  bool // its failure domain is evacuated
	Cold       bool // it warms up and gets a limited number of requests
	HomeRoutes int  // routes of the group that have home regions and may run there
	RoundTrip  time.Duration
}

// View returns a snapshot of a group.
func (pool *Pool) View(name spool.Group) GroupView {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, evacuation, now := pool.group(name), pool.evacuation.Load(), pool.timers.Now()
	view := GroupView{
		Group: name, Primary: group.leadership.Server, Term: group.term, NewestWatermark: group.watermarks.Newest(), AckedPosition: group.ackedPosition,
		LastContact: group.leadership.LastContact, SyncReplicas: group.limits.SyncReplicas,
	}
	for _, server := range group.servers {
		if server.removed {
			continue
		}
		view.Servers = append(view.Servers, ServerView{
			RegisteredServer: server.spec, Leaving: server.leavingSince != 0, Retired: pool.retired(server, now), RoundTrip: server.roundTrip,
			Cold: group.cold(server, now), Evacuated: evacuation.Closed(server.spec.Domain), HomeRoutes: pool.homeRoutes[name][server.spec.Domain],
		})
	}
	slices.SortFunc(view.Servers, func(left, right ServerView) int { return cmp.Compare(left.Server, right.Server) })
	return view
}

// Groups returns the names of the groups of the configuration.
func (pool *Pool) Groups() []spool.Group {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	names := make([]spool.Group, 0, len(pool.groups))
	for name, group := range pool.groups {
		if group.configured {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ProbePrimary returns an error unless the server acts as the primary of a group now.
func (pool *Pool) ProbePrimary(name spool.Group, server spool.Server, team spool.Team) error {
	registered := pool.findServer(name, server)
	if registered == nil {
		return eris.Errorf("server %s of group %s is not registered", server, name)
	}
	return pool.probeServer(registered, team, ProbeTimeout)
}

// RecentContact reports without a probe whether this proxy reaches a group's primary. It returns true if the primary
// answered within half of ProbeTimeout, and false if requests to it fail and its last answer is older than twice
// ProbeTimeout; otherwise known is false.
func (pool *Pool) RecentContact(name spool.Group, serverName spool.Server) (reached, known bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	server := group.servers[serverName]
	leadership, now := &group.leadership, pool.timers.Now()
	if server == nil || leadership.Server != serverName {
		return false, false
	}
	if leadership.LastContact != 0 && now.Sub(leadership.LastContact) < ProbeTimeout/2 {
		return true, true
	}
	withoutContact := now.Sub(max(leadership.LastContact, leadership.Since))
	return false, server.health.ConsecutiveFailures() > 0 && withoutContact > 2*ProbeTimeout
}

// Execute sends the proxy's own commands to a server and returns its answers.
func (pool *Pool) Execute(
	name spool.Group, server spool.Server, team spool.Team, timeout time.Duration, commands ...spool.Command,
) ([]spool.Answer, error) {
	registered := pool.findServer(name, server)
	if registered == nil {
		return nil, eris.Errorf("server %s of group %s is not registered", server, name)
	}
	conn, err := pool.connTo(registered, team, timeout, place.SupervisorWork)
	if err != nil {
		return nil, err
	}
	defer pool.Release(conn)
	pool.AwaitEvacuation(pool.timers.Now())
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

func (pool *Pool) findServer(name spool.Group, serverName spool.Server) *server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).servers[serverName]
}

// HasAddress reports whether a registered server has an address.
func (pool *Pool) HasAddress(address string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.serverAt(address) != nil
}

// serverAt returns the registered server with an address, or nil; the caller holds the mutex.
func (pool *Pool) serverAt(address string) *server {
	for _, group := range pool.groups {
		for _, server := range group.servers {
			if server.spec.Address == address {
				return server
			}
		}
	}
	return nil
}
