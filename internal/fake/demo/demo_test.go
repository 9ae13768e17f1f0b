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

// runWorkers runs four workers against the addresses for the duration and returns their history.
func runWorkers(duration time.Duration, addresses ...string) *History {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	history := NewHistory()
	group := sync.WaitGroup{}
	for i := range 4 {
		group.Go(func() { NewWorker(i, testKey, addresses, history).Run(ctx) })
	}
	group.Wait()
	return history
}

func TestWorkersReportNoViolationsOnASinglePrimary(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	history := runWorkers(500*time.Millisecond, server.Address())
	c.Assert(len(history.ackTimes) > 4, qt.IsTrue)
	c.Assert(history.OutcomeCounts[OutcomeAnswered] > len(history.ackTimes), qt.IsTrue)
	c.Assert(history.OutcomeCounts[OutcomeUnknown], qt.Equals, 0, qt.Commentf("%v", history.ErrorCounts))
	c.Assert([]int{history.StaleReads, history.ForeignReads, history.DuplicateReads}, qt.DeepEquals, []int{0, 0, 0})
	c.Assert(CheckWrites(history.Writes, server.Log()), qt.Equals, Violations{})
}

func TestWorkersDetectStaleReadsOfALaggingReplica(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	replica := startServer(c, regsrv.WithReplicaOf(primary.Address()), regsrv.WithLag(time.Hour))
	history := runWorkers(time.Second, primary.Address(), replica.Address())
	c.Assert(history.StaleReads > 0, qt.IsTrue)
}

func TestLostWritesOfAKilledPrimaryAreDetected(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	replica := startServer(c, regsrv.WithReplicaOf(primary.Address()), regsrv.WithLag(200*time.Millisecond))
	history := runWorkers(500*time.Millisecond, primary.Address())
	primary.Close()
	c.Assert(CheckWrites(history.Writes, replica.Log()).Lost > 0, qt.IsTrue)
}

func applied(position spool.Position, key, value string) regsrv.AppliedWrite {
	return regsrv.AppliedWrite{Position: position, Term: 1, Key: key, Value: value}
}

func TestCheckWrites(t *testing.T) {
	single := func(outcome Outcome) Write { return Write{Key: "k", Values: []string{"a"}, Outcome: outcome} }
	double := Write{Key: "k", Values: []string{"a", "b"}, Outcome: OutcomeUnknown}
	once := []regsrv.AppliedWrite{applied(1, "k", "a")}
	twice := []regsrv.AppliedWrite{applied(1, "k", "a"), applied(2, "k", "a")}
	tests := []struct {
		name  string
		write Write
		log   []regsrv.AppliedWrite
		want  Violations
	}{
		{"acknowledged and applied", single(OutcomeAnswered), once, Violations{}},
		{"acknowledged and not in the log", single(OutcomeAnswered), nil, Violations{Lost: 1}},
		{"acknowledged and applied twice", single(OutcomeAnswered), twice, Violations{Duplicate: 1}},
		{"unknown and applied twice", single(OutcomeUnknown), twice, Violations{Duplicate: 1}},
		{"duplicate key error for its own key", single(OutcomeDuplicateKey), once, Violations{Duplicate: 1}},
		{"unknown and applied", single(OutcomeUnknown), once, Violations{}},
		{"unknown and not applied", single(OutcomeUnknown), nil, Violations{}},
		{"refused and not applied", single(OutcomeNotRun), nil, Violations{}},
		{"refused and applied", single(OutcomeNotRun), once, Violations{RefusedButRan: 1}},
		{"unsent and applied", single(OutcomeUnsent), once, Violations{RefusedButRan: 1}},
		{
			"transaction applied atomically", double,
			[]regsrv.AppliedWrite{applied(1, "k", "a"), applied(1, "k", "b")},
			Violations{},
		},
		{"transaction applied partially", double, once, Violations{Torn: 1}},
		{
			"transaction applied in two parts", double,
			[]regsrv.AppliedWrite{applied(1, "k", "a"), applied(2, "k", "b")},
			Violations{Torn: 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(CheckWrites([]Write{test.write}, test.log), qt.Equals, test.want)
		})
	}
}

func TestClassify(t *testing.T) {
	c := qt.New(t)
	c.Assert(classify(nil), qt.Equals, OutcomeAnswered)
	c.Assert(classify(&pgconn.PgError{Code: "53400", Detail: notRunDetail}), qt.Equals, OutcomeNotRun)
	c.Assert(classify(&pgconn.PgError{Code: "08007"}), qt.Equals, OutcomeUnknown)
	c.Assert(classify(&pgconn.PgError{Code: "57P03"}), qt.Equals, OutcomeUnknown)
	c.Assert(classify(&pgconn.PgError{Code: "23505"}), qt.Equals, OutcomeDuplicateKey)
	c.Assert(classify(os.ErrDeadlineExceeded), qt.Equals, OutcomeUnknown)
}

func TestReadsAreChecked(t *testing.T) {
	c := qt.New(t)
	history := NewHistory()
	write := Write{Key: "k", Values: []string{"a", "b"}}
	history.checkRead(write, []string{"a", "b"})
	c.Assert([]int{history.StaleReads, history.ForeignReads, history.DuplicateReads}, qt.DeepEquals, []int{0, 0, 0})
	history.checkRead(write, nil)
	history.checkRead(write, []string{"a", "c"})
	history.checkRead(write, []string{"a", "b", "a", "b"})
	c.Assert([]int{history.StaleReads, history.ForeignReads, history.DuplicateReads}, qt.DeepEquals, []int{1, 1, 1})
}

func TestMissingReadsAfterAReportedLossAreCheckedAgainstTheLog(t *testing.T) {
	c := qt.New(t)
	history := NewHistory()
	history.checkRead(Write{Key: "lost", Values: []string{"a"}, LossReported: true}, nil)
	history.checkRead(Write{Key: "kept", Values: []string{"a"}, LossReported: true}, nil)
	history.checkRead(Write{Key: "kept", Values: []string{"a"}, LossReported: true}, nil)
	c.Assert(history.StaleReads, qt.Equals, 0)
	history.CountMissingReads([]regsrv.AppliedWrite{applied(1, "kept", "a")})
	c.Assert(history.StaleReads, qt.Equals, 2)
	unreported := NewHistory()
	unreported.checkRead(Write{Key: "lost", Values: []string{"a"}}, nil)
	unreported.CountMissingReads(nil)
	c.Assert(unreported.StaleReads, qt.Equals, 1)
}

func TestLongestWriteGap(t *testing.T) {
	c := qt.New(t)
	history := NewHistory()
	begin := time.Unix(1000, 0)
	for _, millis := range []int{0, 900, 1000, 2500, 2600, 9000} {
		history.ackTimes = append(history.ackTimes, begin.Add(time.Duration(millis)*time.Millisecond))
	}
	gap := history.LongestWriteGap(begin.Add(800*time.Millisecond), begin.Add(3*time.Second))
	c.Assert(gap, qt.Equals, 6400*time.Millisecond)
	gap = history.LongestWriteGap(begin.Add(800*time.Millisecond), begin.Add(2550*time.Millisecond))
	c.Assert(gap, qt.Equals, 1500*time.Millisecond)
	gap = history.LongestWriteGap(begin.Add(3*time.Second), begin.Add(4*time.Second))
	c.Assert(gap, qt.Equals, 6400*time.Millisecond)
	gap = history.LongestWriteGap(begin.Add(9500*time.Millisecond), begin.Add(12*time.Second))
	c.Assert(gap, qt.Equals, 3*time.Second)
}

func TestPrepareWritesValidSettings(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	c.Assert(Prepare(dir), qt.IsNil)
	plan, err := LoadPlan(dir)
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
