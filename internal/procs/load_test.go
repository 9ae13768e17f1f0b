package procs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
)

const (
	workersPerProxy  = 4
	loadWriteShare   = 0.5
	gapMargin        = 200 * time.Millisecond // start of the measured gap before a failure
	workerNumberStep = 100                    // distance between the first worker numbers of two proxies
	warmupWrites     = 25                     // acknowledged on each proxy before a failure
)

// load is a set of sessions that read and write, with a history for each proxy.
type load struct {
	fleet     *fleet
	histories map[string]*demo.History
	stop      context.CancelFunc
	sessions  sync.WaitGroup
}

// startLoad starts sessions on each proxy and waits until each proxy has acknowledged writes.
func (fleet *fleet) startLoad() *load {
	load, ctx := fleet.newLoad()
	for i, proxy := range fleet.plan.Proxies {
		load.addSessions(ctx, proxy.Name, i*workerNumberStep, loadWriteShare, proxy.Address)
	}
	start := time.Now()
	for _, proxy := range fleet.plan.Proxies {
		load.awaitWrites(proxy, start, warmupWrites)
	}
	return load
}

func (fleet *fleet) newLoad() (*load, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	load := &load{fleet: fleet, histories: map[string]*demo.History{}, stop: stop}
	fleet.Cleanup(load.end)
	return load, ctx
}

// addSessions starts sessions that switch between the addresses and share a history, stored under name.
func (load *load) addSessions(ctx context.Context, name string, first int, writeShare float64, addresses ...string) *demo.History {
	history := demo.NewHistory()
	load.histories[name] = history
	for i := range workersPerProxy {
		worker := demo.NewWorker(first+i, load.fleet.plan.Keys[0], addresses, history)
		worker.WriteShare = writeShare
		load.sessions.Go(func() { worker.Run(ctx) })
	}
	return history
}

// awaitWrites waits until a proxy has acknowledged count writes since a time.
func (load *load) awaitWrites(proxy demo.Process, since time.Time, count int) {
	load.fleet.await(fmt.Sprintf("%s acknowledges %d writes", proxy.Name, count), func() bool {
		return load.histories[proxy.Name].AcknowledgedSince(since) >= count
	})
}

// end stops the sessions after their requests in flight.
func (load *load) end() {
	load.stop()
	load.sessions.Wait()
}

// writeGaps returns the longest time since a failure without an acknowledged write on one of the proxies, and a text with
// the gap of each proxy.
func (load *load) writeGaps(proxies []demo.Process, failed time.Time) (longest time.Duration, gapSummary string) {
	texts := []string{}
	for _, proxy := range proxies {
		gap := load.histories[proxy.Name].LongestWriteGap(failed.Add(-gapMargin), time.Now())
		longest = max(longest, gap)
		texts = append(texts, fmt.Sprintf("%s %d ms", proxy.Name, gap.Milliseconds()))
	}
	return longest, strings.Join(texts, ", ")
}

// compareWithLog stops the load and compares the answers to writes that ended after a time with the primary's log.
func (load *load) compareWithLog(since time.Time) demo.Violations {
	load.end()
	writes := []demo.Write{}
	for _, history := range load.histories {
		for _, write := range history.Writes {
			if write.CompletedAt.After(since) {
				writes = append(writes, write)
			}
		}
	}
	load.fleet.Assert(len(writes) > 0, qt.IsTrue)
	return demo.CheckWrites(writes, load.fleet.primaryLog())
}

// primaryLog returns all writes in the primary's log.
func (fleet *fleet) primaryLog() []regsrv.AppliedWrite {
	primary, _ := fleet.primary()
	log, err := demo.Fetch[[]regsrv.AppliedWrite](primary, "/log")
	fleet.Assert(err, qt.IsNil)
	return log
}

// verify checks that no acknowledged write is missing, that none ran twice or in part, that none ran that was refused as
// "not run", and that no read was stale, returned another write's value or returned a value twice.
func (load *load) verify(since time.Time) {
	load.fleet.Check(load.compareWithLog(since), qt.Equals, demo.Violations{})
	log := load.fleet.primaryLog()
	for name, history := range load.histories {
		history.CountMissingReads(log)
		read := []int{history.StaleReads, history.ForeignReads, history.DuplicateReads}
		load.fleet.Check(read, qt.DeepEquals, []int{0, 0, 0}, qt.Commentf("stale, foreign and duplicate reads of %s", name))
	}
}

// countOutcome returns the number of requests with an outcome.
func (load *load) countOutcome(outcome demo.Outcome) int {
	count := 0
	for _, history := range load.histories {
		count += history.OutcomeCounts[outcome]
	}
	return count
}

// summary returns the number of requests by outcome as text.
func (load *load) summary() string {
	return fmt.Sprintf("%d answered, %d not run, %d unsent, %d unknown", load.countOutcome(demo.OutcomeAnswered),
		load.countOutcome(demo.OutcomeNotRun), load.countOutcome(demo.OutcomeUnsent), load.countOutcome(demo.OutcomeUnknown))
}

// errorCounts returns the number of errors by text over all proxies.
func (load *load) errorCounts() map[string]int {
	counts := map[string]int{}
	for _, history := range load.histories {
		for text, count := range history.ErrorCounts {
			counts[text] += count
		}
	}
	return counts
}
