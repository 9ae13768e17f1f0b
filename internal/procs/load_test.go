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

// load is a set of sessions that read and write, with a ledger for each proxy.
type load struct {
	fleet    *fleet
	ledgers  map[string]*demo.Ledger
	stop     context.CancelFunc
	sessions sync.WaitGroup
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
	load := &load{fleet: fleet, ledgers: map[string]*demo.Ledger{}, stop: stop}
	fleet.Cleanup(load.end)
	return load, ctx
}

// addSessions starts sessions that switch between the addresses and share a ledger, stored under name.
func (load *load) addSessions(ctx context.Context, name string, first int, writeShare float64, addresses ...string) *demo.Ledger {
	ledger := demo.NewLedger()
	load.ledgers[name] = ledger
	for i := range workersPerProxy {
		worker := demo.NewWorker(first+i, load.fleet.plan.Keys[0], addresses, ledger)
		worker.WriteShare = writeShare
		load.sessions.Go(func() { worker.Run(ctx) })
	}
	return ledger
}

// awaitWrites waits until a proxy has acknowledged count writes since a time.
func (load *load) awaitWrites(proxy demo.Process, since time.Time, count int) {
	load.fleet.await(fmt.Sprintf("%s acknowledges %d writes", proxy.Name, count), func() bool {
		return load.ledgers[proxy.Name].AnsweredSince(since) >= count
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
		gap := load.ledgers[proxy.Name].Gap(failed.Add(-gapMargin), time.Now())
		longest = max(longest, gap)
		texts = append(texts, fmt.Sprintf("%s %d ms", proxy.Name, gap.Milliseconds()))
	}
	return longest, strings.Join(texts, ", ")
}

// compareWithLog stops the load and compares the answers to writes that ended after a time with the primary's log.
func (load *load) compareWithLog(since time.Time) demo.Verdict {
	load.end()
	writes := []demo.Write{}
	for _, ledger := range load.ledgers {
		for _, write := range ledger.Writes {
			if write.At.After(since) {
				writes = append(writes, write)
			}
		}
	}
	load.fleet.Assert(len(writes) > 0, qt.IsTrue)
	return demo.Judge(writes, load.fleet.primaryLog())
}

// primaryLog returns all writes in the primary's log.
func (fleet *fleet) primaryLog() []regsrv.Applied {
	primary, _ := fleet.primary()
	log, err := demo.Fetch[[]regsrv.Applied](primary, "/log")
	fleet.Assert(err, qt.IsNil)
	return log
}

// verify checks that no acknowledged write is missing, that none ran twice or in part, that none ran that was refused as
// "not run", and that no read was stale, mixed or repeated.
func (load *load) verify(since time.Time) {
	load.fleet.Check(load.compareWithLog(since), qt.Equals, demo.Verdict{})
	log := load.fleet.primaryLog()
	for name, ledger := range load.ledgers {
		ledger.Settle(log)
		read := []int{ledger.Stale, ledger.Mixed, ledger.Repeated}
		load.fleet.Check(read, qt.DeepEquals, []int{0, 0, 0}, qt.Commentf("stale, mixed and repeated reads of %s", name))
	}
}

// countOutcome returns the number of requests with an outcome.
func (load *load) countOutcome(outcome demo.Outcome) int {
	count := 0
	for _, ledger := range load.ledgers {
		count += ledger.Counts[outcome]
	}
	return count
}

// summary returns the number of requests by outcome as text.
func (load *load) summary() string {
	return fmt.Sprintf("%d answered, %d not run, %d unsent, %d unknown", load.countOutcome(demo.Answered),
		load.countOutcome(demo.NotRun), load.countOutcome(demo.Unsent), load.countOutcome(demo.Unknown))
}

// errorCounts returns the number of errors by text over all proxies.
func (load *load) errorCounts() map[string]int {
	counts := map[string]int{}
	for _, ledger := range load.ledgers {
		for text, count := range ledger.Problems {
			counts[text] += count
		}
	}
	return counts
}
