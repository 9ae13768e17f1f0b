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
func load(duration time.Duration, addresses ...string) *Ledger {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	ledger := NewLedger()
	group := sync.WaitGroup{}
	for i := range 4 {
		group.Go(func() { NewWorker(i, testKey, addresses, ledger).Run(ctx) })
	}
	group.Wait()
	return ledger
}

func TestWorkersFindNothingWrongWithOnePrimary(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	ledger := load(500*time.Millisecond, server.Address())
	c.Assert(len(ledger.acks) > 4, qt.IsTrue)
	c.Assert(ledger.Counts[Answered] > len(ledger.acks), qt.IsTrue)
	c.Assert(ledger.Counts[Unknown], qt.Equals, 0, qt.Commentf("%v", ledger.Problems))
	c.Assert([]int{ledger.Stale, ledger.Mixed, ledger.Repeated}, qt.DeepEquals, []int{0, 0, 0})
	c.Assert(Judge(ledger.Writes, server.Log()), qt.Equals, Verdict{})
}

func TestWorkersFindStaleReadsOfALaggingReplica(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	replica := startServer(c, regsrv.WithFollow(primary.Address()), regsrv.WithLag(time.Hour))
	ledger := load(time.Second, primary.Address(), replica.Address())
	c.Assert(ledger.Stale > 0, qt.IsTrue)
}

func TestWorkersFindWritesThatAKilledPrimaryLost(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	replica := startServer(c, regsrv.WithFollow(primary.Address()), regsrv.WithLag(200*time.Millisecond))
	ledger := load(500*time.Millisecond, primary.Address())
	primary.Close()
	c.Assert(Judge(ledger.Writes, replica.Log()).Lost > 0, qt.IsTrue)
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
		want  Verdict
	}{
		{"acknowledged and there", single(Answered), once, Verdict{}},
		{"acknowledged and lost", single(Answered), nil, Verdict{Lost: 1}},
		{"ran twice", single(Answered), twice, Verdict{Duplicate: 1}},
		{"unknown and ran twice", single(Unknown), twice, Verdict{Duplicate: 1}},
		{"told of its own key", single(Duplicate), once, Verdict{Duplicate: 1}},
		{"unknown and there", single(Unknown), once, Verdict{}},
		{"unknown and not there", single(Unknown), nil, Verdict{}},
		{"refused and not there", single(NotRun), nil, Verdict{}},
		{"refused and there", single(NotRun), once, Verdict{NotRunRan: 1}},
		{"unsent and there", single(Unsent), once, Verdict{NotRunRan: 1}},
		{"transaction whole", double, []regsrv.Applied{applied(1, "k", "a"), applied(1, "k", "b")}, Verdict{}},
		{"transaction in part", double, once, Verdict{Torn: 1}},
		{"transaction in two", double, []regsrv.Applied{applied(1, "k", "a"), applied(2, "k", "b")}, Verdict{Torn: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(Judge([]Write{test.write}, test.log), qt.Equals, test.want)
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
	ledger := NewLedger()
	write := Write{Key: "k", Values: []string{"a", "b"}}
	ledger.read(write, []string{"a", "b"})
	c.Assert([]int{ledger.Stale, ledger.Mixed, ledger.Repeated}, qt.DeepEquals, []int{0, 0, 0})
	ledger.read(write, nil)
	ledger.read(write, []string{"a", "c"})
	ledger.read(write, []string{"a", "b", "a", "b"})
	c.Assert([]int{ledger.Stale, ledger.Mixed, ledger.Repeated}, qt.DeepEquals, []int{1, 1, 1})
}

func TestReadsAfterTheNewsOfALossAreJudgedByTheLog(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger()
	ledger.read(Write{Key: "lost", Values: []string{"a"}, Told: true}, nil)
	ledger.read(Write{Key: "kept", Values: []string{"a"}, Told: true}, nil)
	ledger.read(Write{Key: "kept", Values: []string{"a"}, Told: true}, nil)
	c.Assert(ledger.Stale, qt.Equals, 0)
	ledger.Settle([]regsrv.Applied{applied(1, "kept", "a")})
	c.Assert(ledger.Stale, qt.Equals, 2)
	hidden := NewLedger()
	hidden.read(Write{Key: "lost", Values: []string{"a"}}, nil)
	hidden.Settle(nil)
	c.Assert(hidden.Stale, qt.Equals, 1)
}

func TestGapIsTheLongestTimeWithoutAnAcknowledgement(t *testing.T) {
	c := qt.New(t)
	ledger := NewLedger()
	begin := time.Unix(1000, 0)
	for _, millis := range []int{0, 900, 1000, 2500, 2600, 9000} {
		ledger.acks = append(ledger.acks, begin.Add(time.Duration(millis)*time.Millisecond))
	}
	gap := ledger.Gap(begin.Add(800*time.Millisecond), begin.Add(3*time.Second))
	c.Assert(gap, qt.Equals, 6400*time.Millisecond)
	gap = ledger.Gap(begin.Add(800*time.Millisecond), begin.Add(2550*time.Millisecond))
	c.Assert(gap, qt.Equals, 1500*time.Millisecond)
	gap = ledger.Gap(begin.Add(3*time.Second), begin.Add(4*time.Second))
	c.Assert(gap, qt.Equals, 6400*time.Millisecond)
	gap = ledger.Gap(begin.Add(9500*time.Millisecond), begin.Add(12*time.Second))
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
	_, faults := policy.ParseManifest(partner, body)
	c.Assert(faults, qt.HasLen, 0)
}
