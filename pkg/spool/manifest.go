package spool

import "time"

// Team names a customer whose requests share one rate.
type Team string

// Partner names an organization that owns a part of the configuration.
type Partner string

// Manifest is the configuration that one partner's pipeline generates; it replaces that partner's part whole.
type Manifest struct {
	Partner Partner
	Teams   []TeamSpec
	Keys    []KeySpec
	Groups  []GroupSpec
	Routes  []RouteSpec
}

// TeamSpec gives a team its rate and burst, counted over all VMs together.
type TeamSpec struct {
	Name          Team
	RatePerSecond float64
	Burst         float64
}

// KeySpec is a caller key: a login name and the verifier of its secret.
type KeySpec struct {
	Name      string
	Team      Team
	Verifier  string // SCRAM-SHA-256$iterations:salt$stored:server, as PostgreSQL stores it
	Withdrawn bool
}

// GroupSpec describes a database group and its backend servers.
type GroupSpec struct {
	Name    Group
	Dialect string
	Servers []ServerSpec
}

// ServerSpec describes one backend server of a group.
type ServerSpec struct {
	Name        Server
	Address     string
	Domain      Domain
	Slots       int
	Connections int
	Leaving     bool
}

// RouteSpec maps a database name that callers ask for to a group.
type RouteSpec struct {
	Name       string
	Group      Group
	Teams      []Team
	Open       bool     // callers need no key; requests count against the first team
	Reads      []string // statement prefixes that may run on a replica, and more than once
	Idempotent []string // statement prefixes that may run more than once
	MaxAge     Duration // age of data that reads accept; zero asks for the session's own writes
	Timeout    Duration // longest time a request may wait and run
	Durable    bool     // acknowledge a write only after a replica holds it
}

// Duration is a time.Duration that JSON writes as text such as "250ms".
type Duration time.Duration

// MarshalText returns the text form of duration.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText reads the text form of a duration and fails on an unknown unit.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}
