package route

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Need is what a request requires of the server that answers it.
type Need struct {
	Token     spool.SessionToken
	Tokenless bool // the session has no token yet and must see every acknowledged write
	Read      bool
	MaxAge    time.Duration
}

// Choice is the result of Pick.
type Choice int

// Results of Pick.
const (
	Found     Choice = iota // servers were found
	NoPrimary               // the primary has to answer, but no term is open
	LostWrite               // the session has seen a write that was lost in a promotion
	Behind                  // the session has seen a later term than the table's
)

// Pick returns the servers that may answer a need: replicas if any is fresh enough, else the primary.
func (table *Table) Pick(need Need, now spool.Instant) (ServerSet, Choice) {
	if choice := table.checkToken(need.Token); choice != Found {
		return 0, choice
	}
	if need.Read && table.Current.Term > 0 {
		if set := table.freshReplicas(need, now); set != 0 {
			return set, Found
		}
	}
	if table.Primary < 0 {
		return 0, NoPrimary
	}
	return ServerSet(0).With(table.Primary), Found
}

// PrimaryFallback returns the primary if it may answer a read for which Pick returned replicas.
func (table *Table) PrimaryFallback(need Need, set ServerSet) ServerSet {
	if !need.Read || table.Primary < 0 || set.Has(table.Primary) {
		return 0
	}
	return ServerSet(0).With(table.Primary)
}

// MinPosition returns the lowest position at which a server satisfies the need.
func (table *Table) MinPosition(need Need) spool.Position {
	floor := need.Token.Position
	if need.Tokenless {
		floor = max(floor, table.Acked)
	}
	return floor
}

func (table *Table) freshReplicas(need Need, now spool.Instant) ServerSet {
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
		if need.MaxAge > 0 && !table.withinMaxAge(server.Position, need.MaxAge, now) {
			continue
		}
		set = set.With(i)
	}
	return set
}

func (table *Table) withinMaxAge(position spool.Position, limit time.Duration, now spool.Instant) bool {
	age, known := table.Age(position, now)
	return known && age <= limit
}

// checkToken returns Found if the token's position is part of the open term's log.
func (table *Table) checkToken(token spool.SessionToken) Choice {
	switch {
	case token.Term > table.Current.Term:
		return Behind
	case token.Term == table.Current.Term || token.Term == 0:
		return Found
	}
	if token.Position > table.termEnd(token.Term) {
		return LostWrite
	}
	return Found
}

// termEnd returns the last position of a term that later terms retained.
func (table *Table) termEnd(term spool.Term) spool.Position {
	end := table.Current.Start
	for _, start := range table.History {
		if start.Term > term {
			end = min(end, start.Start)
		}
	}
	return end
}
