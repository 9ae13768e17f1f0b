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
	workersPerProxy = 4
	loadWriteShare  = 0.5
	gapLead         = 200 * time.Millisecond // before a failure
	workersApart    = 100                    // between the numbers of two proxies' workers
	warmWrites      = 25                     // on each proxy, before a failure
)

// load is sessions that read and write, a few on each proxy, with a ledger for each proxy.
type load struct {
	fleet   *fleet
	ledgers map[string]*demo.Ledger
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startLoad starts sessions that stay on their proxy and waits until each proxy has acknowledged writes.
func (fleet *fleet) startLoad() *load {
	ctx, stop := context.WithCancel(context.Background())
	load := &load{fleet: fleet, ledgers: map[string]*demo.Ledger{}, stop: stop}
	fleet.Cleanup(load.end)
	for i, proxy := range fleet.plan.Proxies {
		ledger := demo.NewLedger()
		load.ledgers[proxy.Name] = ledger
		for j := range workersPerProxy {
			worker := demo.NewWorker(i*workersApart+j, fleet.plan.Keys[0], []string{proxy.Address}, ledger)
			worker.WriteShare = loadWriteShare
			load.running.Go(func() { worker.Run(ctx) })
		}
	}
	begun := time.Now()
	for _, proxy := range fleet.plan.Proxies {
		load.awaitWrites(proxy, begun, warmWrites)
	}
	return load
}

// awaitWrites waits until a proxy has acknowledged a number of writes since an instant.
func (load *load) awaitWrites(proxy demo.Process, since time.Time, count int) {
	load.fleet.await(fmt.Sprintf("%s acknowledges %d writes", proxy.Name, count), func() bool {
		return load.ledgers[proxy.Name].AnsweredSince(since) >= count
	})
}

// end stops the sessions after the requests in flight.
func (load *load) end() {
	load.stop()
	load.running.Wait()
}

// gaps returns the longest time without an acknowledged write through each of the proxies since a failure, and shows it.
func (load *load) gaps(proxies []demo.Process, failed time.Time) (longest time.Duration, shown string) {
	texts := []string{}
	for _, proxy := range proxies {
		gap := load.ledgers[proxy.Name].Gap(failed.Add(-gapLead), time.Now())
		longest = max(longest, gap)
		texts = append(texts, fmt.Sprintf("%s %d ms", proxy.Name, gap.Milliseconds()))
	}
	return longest, strings.Join(texts, ", ")
}

// judge compares what the callers were told, of writes that end after an instant, with the log of the primary.
func (load *load) judge(since time.Time) demo.Verdict {
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

// primaryLog returns every write that the primary holds.
func (fleet *fleet) primaryLog() []regsrv.Applied {
	primary, _ := fleet.primary()
	log, err := demo.Fetch[[]regsrv.Applied](primary, "/log")
	fleet.Assert(err, qt.IsNil)
	return log
}

// check expects that nothing acknowledged is missing, that nothing ran twice or in part and that "not run" was true.
func (load *load) check(since time.Time) {
	load.fleet.Check(load.judge(since), qt.Equals, demo.Verdict{})
	log := load.fleet.primaryLog()
	for name, ledger := range load.ledgers {
		ledger.Settle(log)
		read := []int{ledger.Stale, ledger.Mixed, ledger.Repeated}
		load.fleet.Check(read, qt.DeepEquals, []int{0, 0, 0}, qt.Commentf("stale, mixed and repeated reads of %s", name))
	}
}

// count adds up the requests of an outcome.
func (load *load) count(outcome demo.Outcome) int {
	count := 0
	for _, ledger := range load.ledgers {
		count += ledger.Counts[outcome]
	}
	return count
}

// figures tells how many requests had which outcome.
func (load *load) figures() string {
	return fmt.Sprintf("%d answered, %d not run, %d unsent, %d unknown", load.count(demo.Answered),
		load.count(demo.NotRun), load.count(demo.Unsent), load.count(demo.Unknown))
}

// problems lists the errors that the sessions of all proxies got.
func (load *load) problems() map[string]int {
	problems := map[string]int{}
	for _, ledger := range load.ledgers {
		for text, count := range ledger.Problems {
			problems[text] += count
		}
	}
	return problems
}
