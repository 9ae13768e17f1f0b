package route

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Need is what a request asks of the server that answers it.
type Need struct {
	Token     spool.SessionToken
	Tokenless bool // the session showed no token yet and must see every acknowledged write
	Read      bool
	MaxAge    time.Duration
}

// Choice is the answer to a need.
type Choice int

// Choices of a table.
const (
	Found     Choice = iota // Servers holds those that may answer
	NoPrimary               // the primary has to answer and none is open
	LostWrite               // the session has seen a write that did not survive a promotion
	Behind                  // the session has seen a later term than this table knows
)

// Pick returns the servers that may answer a need: replicas if any is fresh enough, else the primary.
func (table *Table) Pick(need Need, now spool.Instant) (ServerSet, Choice) {
	if choice := table.judge(need.Token); choice != Found {
		return 0, choice
	}
	if need.Read && table.Current.Term > 0 {
		if set := table.replicas(need, now); set != 0 {
			return set, Found
		}
	}
	if table.Primary < 0 {
		return 0, NoPrimary
	}
	return ServerSet(0).With(table.Primary), Found
}

// PrimaryFallback returns the primary if it may answer a read that Pick left to replicas.
func (table *Table) PrimaryFallback(need Need, set ServerSet) ServerSet {
	if !need.Read || table.Primary < 0 || set.Has(table.Primary) {
		return 0
	}
	return ServerSet(0).With(table.Primary)
}

// MinPosition returns the position from which a session of this need may read.
func (table *Table) MinPosition(need Need) spool.Position {
	floor := need.Token.Position
	if need.Tokenless {
		floor = max(floor, table.Acked)
	}
	return floor
}

func (table *Table) replicas(need Need, now spool.Instant) ServerSet {
	floor := table.MinPosition(need)
	set := ServerSet(0)
	for i := range table.Servers {
		server := &table.Servers[i]
		if i == table.Primary || !server.Up || server.Leaving {
			continue
		}
		if server.Term != table.Current.Term || server.Position < floor {
			continue
		}
		if need.MaxAge > 0 && !table.younger(server.Position, need.MaxAge, now) {
			continue
		}
		set = set.With(i)
	}
	return set
}

func (table *Table) younger(position spool.Position, limit time.Duration, now spool.Instant) bool {
	age, known := table.Age(position, now)
	return known && age <= limit
}

// judge tells whether what a token has seen is part of the open term's log.
func (table *Table) judge(token spool.SessionToken) Choice {
	switch {
	case token.Term > table.Current.Term:
		return Behind
	case token.Term == table.Current.Term || token.Term == 0:
		return Found
	}
	if token.Position > table.end(token.Term) {
		return LostWrite
	}
	return Found
}

// end returns the last position of a term that later terms kept.
func (table *Table) end(term spool.Term) spool.Position {
	end := table.Current.Start
	for _, start := range table.History {
		if start.Term > term {
			end = min(end, start.Start)
		}
	}
	return end
}
