package demo

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
)

var testKey = Key{Name: "spool", Secret: "spool"}

func startServer(c *qt.C, options ...regsrv.Option) *regsrv.Server {
	server := regsrv.New(options...)
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(server.Close)
	return server
}

// load runs workers against the addresses for a while.
func load(duration time.Duration, addresses ...string) *ledger {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	ledger := newLedger()
	group := sync.WaitGroup{}
	for i := range 4 {
		group.Go(func() { newWorker(i, testKey, addresses, ledger).run(ctx) })
	}
	group.Wait()
	return ledger
}

func TestWorkersFindNothingWrongWithOnePrimary(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	ledger := load(500*time.Millisecond, server.Address())
	c.Assert(len(ledger.acks) > 4, qt.IsTrue)
	c.Assert(ledger.counts[Answered] > len(ledger.acks), qt.IsTrue)
	c.Assert(ledger.counts[Unknown], qt.Equals, 0, qt.Commentf("%v", ledger.problems))
	c.Assert([]int{ledger.stale, ledger.mixed, ledger.repeated}, qt.DeepEquals, []int{0, 0, 0})
	c.Assert(judge(ledger.writes, server.Log()), qt.Equals, verdict{})
}

func TestWorkersFindStaleReadsOfALaggingReplica(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	replica := startServer(c, regsrv.WithFollow(primary.Address()), regsrv.WithLag(time.Hour))
	ledger := load(time.Second, primary.Address(), replica.Address())
	c.Assert(ledger.stale > 0, qt.IsTrue)
}

func TestWorkersFindWritesThatAKilledPrimaryLost(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	replica := startServer(c, regsrv.WithFollow(primary.Address()), regsrv.WithLag(200*time.Millisecond))
	ledger := load(500*time.Millisecond, primary.Address())
	primary.Close()
	c.Assert(judge(ledger.writes, replica.Log()).Lost > 0, qt.IsTrue)
}

func applied(position spool.Position, key, value string) regsrv.Applied {
	return regsrv.Applied{Position: position, Term: 1, Key: key, Value: value}
}

func TestJudge(t *testing.T) {
	single := func(outcome Outcome) Write { return Write{Key: "k", Values: []string{"a"}, Outcome: outcome} }
	double := Write{Key: "k", Values: []string{"a", "b"}, Outcome: Unknown}
	once := []regsrv.Applied{applied(1, "k", "a")}
	twice := []regsrv.Applied{applied(1, "k", "a"), applied(2, "k", "a")}
	tests := []struct {
		name  string
		write Write
		log   []regsrv.Applied
		want  verdict
	}{
		{"acknowledged and there", single(Answered), once, verdict{}},
		{"acknowledged and lost", single(Answered), nil, verdict{Lost: 1}},
		{"ran twice", single(Answered), twice, verdict{Duplicate: 1}},
		{"unknown and ran twice", single(Unknown), twice, verdict{Duplicate: 1}},
		{"told of its own key", single(Duplicate), once, verdict{Duplicate: 1}},
		{"unknown and there", single(Unknown), once, verdict{}},
		{"unknown and not there", single(Unknown), nil, verdict{}},
		{"refused and not there", single(NotRun), nil, verdict{}},
		{"refused and there", single(NotRun), once, verdict{NotRunRan: 1}},
		{"unsent and there", single(Unsent), once, verdict{NotRunRan: 1}},
		{"transaction whole", double, []regsrv.Applied{applied(1, "k", "a"), applied(1, "k", "b")}, verdict{}},
		{"transaction in part", double, once, verdict{Torn: 1}},
		{"transaction in two", double, []regsrv.Applied{applied(1, "k", "a"), applied(2, "k", "b")}, verdict{Torn: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(judge([]Write{test.write}, test.log), qt.Equals, test.want)
		})
	}
}

func TestClassify(t *testing.T) {
	c := qt.New(t)
	c.Assert(classify(nil), qt.Equals, Answered)
	c.Assert(classify(&pgconn.PgError{Code: "53400", Detail: notRunDetail}), qt.Equals, NotRun)
	c.Assert(classify(&pgconn.PgError{Code: "08007"}), qt.Equals, Unknown)
	c.Assert(classify(&pgconn.PgError{Code: "57P03"}), qt.Equals, Unknown)
	c.Assert(classify(&pgconn.PgError{Code: "23505"}), qt.Equals, Duplicate)
	c.Assert(classify(os.ErrDeadlineExceeded), qt.Equals, Unknown)
}

func TestReadsAreJudged(t *testing.T) {
	c := qt.New(t)
	ledger := newLedger()
	write := Write{Key: "k", Values: []string{"a", "b"}}
	ledger.read(write, []string{"a", "b"})
	c.Assert([]int{ledger.stale, ledger.mixed, ledger.repeated}, qt.DeepEquals, []int{0, 0, 0})
	ledger.read(write, nil)
	ledger.read(write, []string{"a", "c"})
	ledger.read(write, []string{"a", "b", "a", "b"})
	c.Assert([]int{ledger.stale, ledger.mixed, ledger.repeated}, qt.DeepEquals, []int{1, 1, 1})
}

func TestReadsAfterTheNewsOfALossAreJudgedByTheLog(t *testing.T) {
	c := qt.New(t)
	ledger := newLedger()
	ledger.read(Write{Key: "lost", Values: []string{"a"}, Told: true}, nil)
	ledger.read(Write{Key: "kept", Values: []string{"a"}, Told: true}, nil)
	ledger.read(Write{Key: "kept", Values: []string{"a"}, Told: true}, nil)
	c.Assert(ledger.stale, qt.Equals, 0)
	ledger.settle([]regsrv.Applied{applied(1, "kept", "a")})
	c.Assert(ledger.stale, qt.Equals, 2)
	hidden := newLedger()
	hidden.read(Write{Key: "lost", Values: []string{"a"}}, nil)
	hidden.settle(nil)
	c.Assert(hidden.stale, qt.Equals, 1)
}

func TestGapIsTheLongestTimeWithoutAnAcknowledgement(t *testing.T) {
	c := qt.New(t)
	ledger := newLedger()
	begin := time.Unix(1000, 0)
	for _, millis := range []int{0, 900, 1000, 2500, 2600, 9000} {
		ledger.acks = append(ledger.acks, begin.Add(time.Duration(millis)*time.Millisecond))
	}
	gap := ledger.gap(begin.Add(800*time.Millisecond), begin.Add(3*time.Second))
	c.Assert(gap, qt.Equals, 6400*time.Millisecond)
	gap = ledger.gap(begin.Add(800*time.Millisecond), begin.Add(2550*time.Millisecond))
	c.Assert(gap, qt.Equals, 1500*time.Millisecond)
	gap = ledger.gap(begin.Add(3*time.Second), begin.Add(4*time.Second))
	c.Assert(gap, qt.Equals, 6400*time.Millisecond)
	gap = ledger.gap(begin.Add(9500*time.Millisecond), begin.Add(12*time.Second))
	c.Assert(gap, qt.Equals, 3*time.Second)
}

func TestPrepareWritesWhatTheProcessesNeed(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	c.Assert(Prepare(dir), qt.IsNil)
	plan, err := Load(dir)
	c.Assert(err, qt.IsNil)
	for _, proxy := range plan.Proxies {
		written, faults := config.Load(filepath.Join(dir, proxy.Name+".json"))
		c.Assert(faults, qt.HasLen, 0)
		c.Assert(written.Domain, qt.Equals, proxy.Domain)
		_, err := certs.Load(certs.Files{
			Certificate: written.Peer.Certificate,
			PrivateKey:  written.Peer.PrivateKey,
			Authority:   written.Peer.Authority,
		})
		c.Assert(err, qt.IsNil)
	}
	manifest, err := plan.Manifest(plan.Keys[1].Name)
	c.Assert(err, qt.IsNil)
	c.Assert(manifest.Keys[0].Withdrawn, qt.IsFalse)
	c.Assert(manifest.Keys[1].Withdrawn, qt.IsTrue)
	body, err := json.Marshal(manifest)
	c.Assert(err, qt.IsNil)
	_, faults := policy.Parse(partner, body)
	c.Assert(faults, qt.HasLen, 0)
}
