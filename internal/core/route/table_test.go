package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/pkg/spool"
)

var specs = []spool.ServerSpec{{Name: "s1"}, {Name: "s2"}, {Name: "s3"}}

func newTable() *route.Table {
	table := route.New(specs)
	table.OpenTerm("s1", route.TermStart{Term: 1})
	return table
}

func recordStatus(table *route.Table, name spool.Server, term spool.Term, position spool.Position, at spool.Instant) {
	table.RecordStatus(spool.ServerStatus{Server: name, Term: term, Position: position}, at)
}

func TestPickReadsOwnWrites(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	recordStatus(table, "s1", 1, 10, 0)
	recordStatus(table, "s2", 1, 9, 0)
	recordStatus(table, "s3", 1, 5, 0)
	set, choice := table.Pick(route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 9}}, 0)
	c.Assert(choice, qt.Equals, route.Found)
	c.Assert(set, qt.Equals, route.ServerSet(0).With(1))
	set, _ = table.Pick(route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 10}}, 0)
	c.Assert(set, qt.Equals, route.ServerSet(0).With(0))
}

func TestPickTokenlessSeesAcknowledgedWrites(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	recordStatus(table, "s2", 1, 9, 0)
	table.RecordAcknowledged(1, 10)
	set, _ := table.Pick(route.Need{Read: true, Tokenless: true}, 0)
	c.Assert(set, qt.Equals, route.ServerSet(0).With(0))
	recordStatus(table, "s2", 1, 10, 0)
	set, _ = table.Pick(route.Need{Read: true, Tokenless: true}, 0)
	c.Assert(set, qt.Equals, route.ServerSet(0).With(1))
}

func TestPickBoundsAge(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	at := spool.Instant(time.Second)
	recordStatus(table, "s1", 1, 10, at)
	recordStatus(table, "s2", 1, 10, at)
	recordStatus(table, "s1", 1, 20, at.Add(100*time.Millisecond))
	need := route.Need{Read: true, MaxAge: 150 * time.Millisecond}
	set, _ := table.Pick(need, at.Add(140*time.Millisecond))
	c.Assert(set, qt.Equals, route.ServerSet(0).With(1))
	set, _ = table.Pick(need, at.Add(160*time.Millisecond))
	c.Assert(set, qt.Equals, route.ServerSet(0).With(0))
}

func TestPickReportsLostWrites(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.OpenTerm("s2", route.TermStart{Term: 2, Start: 8})
	_, choice := table.Pick(route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 9}}, 0)
	c.Assert(choice, qt.Equals, route.LostWrite)
	_, choice = table.Pick(route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 8}}, 0)
	c.Assert(choice, qt.Equals, route.Found)
	table.OpenTerm("s3", route.TermStart{Term: 3, Start: 20})
	_, choice = table.Pick(route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 9}}, 0)
	c.Assert(choice, qt.Equals, route.LostWrite)
	_, choice = table.Pick(route.Need{Token: spool.SessionToken{Term: 4, Position: 1}}, 0)
	c.Assert(choice, qt.Equals, route.Behind)
}

// TestPickNeverStale compares Pick with a model of three logs with lag, promotions and stale status reports.
func TestPickNeverStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		positions := map[spool.Server]spool.Position{}
		term, now, primary := spool.Term(1), spool.Instant(0), spool.Server("s1")
		tokens := []spool.SessionToken{}
		lost := map[int]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) {
				positions[primary]++
				tokens = append(tokens, spool.SessionToken{Term: term, Position: positions[primary]})
				table.RecordAcknowledged(term, positions[primary])
			},
			"replicate": func(t *rapid.T) {
				replica := rapid.SampledFrom(specs).Draw(t, "replica").Name
				reached := rapid.Uint64Range(uint64(positions[replica]), uint64(positions[primary])).Draw(t, "position")
				positions[replica] = spool.Position(reached)
			},
			"report": func(t *rapid.T) {
				now = now.Add(10 * time.Millisecond)
				server := rapid.SampledFrom(specs).Draw(t, "server").Name
				recordStatus(table, server, term, positions[server], now)
			},
			"promote": func(t *rapid.T) {
				primary = rapid.SampledFrom(specs).Draw(t, "server").Name
				term++
				start := positions[primary]
				for _, spec := range specs {
					positions[spec.Name] = min(positions[spec.Name], start)
				}
				for i, token := range tokens {
					if token.Position > start && !lost[i] {
						lost[i] = true
					}
				}
				table.OpenTerm(primary, route.TermStart{Term: term, Start: start})
			},
			"read": func(t *rapid.T) {
				if len(tokens) == 0 {
					t.Skip("no session")
				}
				i := rapid.IntRange(0, len(tokens)-1).Draw(t, "session")
				set, choice := table.Pick(route.Need{Read: true, Token: tokens[i]}, now)
				if (choice == route.LostWrite) != lost[i] {
					t.Fatalf("session %v: choice %v, lost %v", tokens[i], choice, lost[i])
				}
				for index, spec := range specs {
					if set.Has(index) && positions[spec.Name] < tokens[i].Position {
						t.Fatalf("session %v may read %s at %d", tokens[i], spec.Name, positions[spec.Name])
					}
				}
			},
		})
	})
}

func TestPickAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	recordStatus(table, "s2", 1, 9, 0)
	need := route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 9}, MaxAge: time.Hour}
	allocations := testing.AllocsPerRun(1000, func() { table.Pick(need, 1) })
	c.Assert(allocations, qt.Equals, 0.0)
}

func BenchmarkPick(b *testing.B) {
	table := newTable()
	recordStatus(table, "s1", 1, 9, 1)
	recordStatus(table, "s2", 1, 9, 1)
	need := route.Need{Read: true, Token: spool.SessionToken{Term: 1, Position: 9}, MaxAge: time.Hour}
	b.ReportAllocs()
	for b.Loop() {
		table.Pick(need, 1)
	}
}
