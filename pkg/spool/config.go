package spool

import "time"

// Consistency is the read consistency that a route guarantees.
type Consistency int

// Consistency levels of routes.
const (
	ConsistencyPrimary          Consistency = iota // reads see every acknowledged commit
	ConsistencyBoundedStaleness                    // reads see every commit acknowledged longer than MaxAge ago
	ConsistencyReadYourWrites                      // as ConsistencyBoundedStaleness, and the session's own commits
)

// FleetConfig is one version of the complete configuration as written by the operators.
type FleetConfig struct {
	Revision    uint64
	Routes      map[string]Route
	Groups      map[Group]GroupLimits
	Teams       map[Team]TeamSpec
	Keys        map[string]Team
	TeamRegions map[Team][]string // regions whose servers may run a team's requests; a team without an entry may use all
	TxIdle      time.Duration     // longest idle time inside a transaction
}

// Route maps a database name to a group.
type Route struct {
	Name        string
	Group       Group
	Consistency Consistency
	MaxAge      time.Duration
	Timeout     time.Duration // of one statement
	Target      time.Duration // latency objective of a whole operation
	Priority    int           // zero is the highest priority
	Open        bool          // callers need no key
	Regions     []string      // whose servers may run its requests; empty allows all
}

// GroupLimits are the limits of a group's servers.
type GroupLimits struct {
	Connections     int           // on each server, over all proxies
	SyncReplicas    int           // replicas that confirm a commit before it is acknowledged
	WarmupPerSecond float64       // requests a second to a server that warms up, over all proxies; zero sets no limit
	Warmup          time.Duration // after a server's start in which it warms up; zero if it does not
}

// Login returns the route and team of a caller, or the reason why the caller is refused.
func (config *FleetConfig) Login(key, route string) (Route, Team, *Refusal) {
	found, known := config.Routes[route]
	if !known {
		return Route{}, "", &Refusal{Code: CodeUnknownRoute, Message: "no such database"}
	}
	team, known := config.Keys[key]
	if !known && !found.Open {
		return Route{}, "", &Refusal{Code: CodeBadKey, Message: "unknown key"}
	}
	return found, team, nil
}

// ServerMode says whether a registered backend server accepts new work.
type ServerMode int

// Modes of a registered backend server.
const (
	ServerReady ServerMode = iota
	ServerLeaving
)

// RegisteredServer is the entry under which a backend server registered itself.
type RegisteredServer struct {
	Server      Server
	Group       Group
	Address     string
	Domain      Domain
	Mode        ServerMode
	Primary     bool
	Slots       int
	Warmup      time.Duration // remaining time of slow operation after its start
	StartMillis int64         // Unix milliseconds of its start; a changed value means a new, empty server
}
