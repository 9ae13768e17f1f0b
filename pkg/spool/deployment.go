package spool

import "time"

// Consistency is the freshness that a route promises.
type Consistency int

// Kinds of routes.
const (
	ConsistencyPrimary          Consistency = iota // reads see every acknowledged commit
	ConsistencyBoundedStaleness                    // reads see what was acknowledged longer than MaxAge ago
	ConsistencyReadYourWrites                      // as RouteBounded, and the session's own commits
)

// FleetConfig is one version of the whole configuration as the operators wrote it.
type FleetConfig struct {
	Revision uint64
	Routes   map[string]Route
	Groups   map[Group]GroupLimits
	Teams    map[Team]TeamSpec
	Keys     map[string]Team
	TxIdle   time.Duration // longest pause inside a transaction
}

// Route leads a database name to a group.
type Route struct {
	Name        string
	Group       Group
	Consistency Consistency
	MaxAge      time.Duration
	Timeout     time.Duration // of one statement
	Target      time.Duration // latency objective of a whole operation
	Priority    int           // zero is the highest
	Open        bool          // callers need no key
}

// GroupLimits are the limits of a group's servers.
type GroupLimits struct {
	Connections  int // on each server, from all proxies together
	SyncReplicas int // replicas that confirm a commit before it is acknowledged
}

// Login finds the route and team of a caller or says why it may not enter.
func (deployment *FleetConfig) Login(key, route string) (Route, Team, *Refusal) {
	found, known := deployment.Routes[route]
	if !known {
		return Route{}, "", &Refusal{Code: CodeUnknownRoute, Message: "no such database"}
	}
	team, known := deployment.Keys[key]
	if !known && !found.Open {
		return Route{}, "", &Refusal{Code: CodeBadKey, Message: "unknown key"}
	}
	return found, team, nil
}

// ServerMode tells whether a registered backend server takes new work.
type ServerMode int

// Modes of a registered backend server.
const (
	ServerReady ServerMode = iota
	ServerLeaving
)

// RegisteredServer is a backend server as it registered itself.
type RegisteredServer struct {
	Server      Server
	Group       Group
	Address     string
	Domain      Domain
	Mode        ServerMode
	Primary     bool
	Slots       int
	Warmup      time.Duration // how much longer it is slow after its start
	StartMillis int64         // Unix milliseconds of its start; a new value is a new, empty server
}
