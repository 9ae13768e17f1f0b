package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

const (
	sessionCount          = 16
	readyTimeout          = 20 * time.Second
	pollInterval          = 25 * time.Millisecond
	steadyLoadTime        = 3 * time.Second
	proxyLossTime         = 5 * time.Second
	primaryLossTime       = 10 * time.Second
	withdrawalObservation = 5 * time.Second
	settleTime            = 500 * time.Millisecond
	gapMargin             = 200 * time.Millisecond // before the kill, included in the search for the longest gap
	maxShownErrors        = 12
)

// run is the state of one run of the demo.
type run struct {
	plan    Plan
	fleet   *fleet
	history *History
	client  *objapi.Client
	out     io.Writer

	violations               Violations
	report                   Report
	withdrawalDelay          time.Duration
	killedServerPrimaryReads int
	killedServerReplicaReads int
	foreignLogins            int
	failures                 []string
}

// Run runs the scenario against the processes listed in the directory's plan and process ids and prints its progress
// and a report; it fails if a guarantee was violated.
func Run(dir string, out io.Writer) error {
	plan, err := LoadPlan(dir)
	if err != nil {
		return err
	}
	fleet, err := newFleet(dir, plan)
	if err != nil {
		return err
	}
	run := &run{
		plan:    plan,
		fleet:   fleet,
		history: NewHistory(),
		client:  objapi.New("http://" + plan.Platform),
		out:     out,
	}
	defer run.client.Close()
	if err := run.awaitProxies(); err != nil {
		return err
	}
	if err := run.runScenario(); err != nil {
		return err
	}
	return run.finish()
}

func (run *run) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(run.out, format+"\n", arguments...)
}

// awaitProxies waits until every proxy answers requests.
func (run *run) awaitProxies() error {
	for _, proxy := range run.plan.Proxies {
		if err := run.awaitProxy(proxy); err != nil {
			return err
		}
		run.printf("Proxy %s in %s serves on %s.", proxy.Name, proxy.Domain, proxy.Address)
	}
	return nil
}

func (run *run) awaitProxy(proxy Process) error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		err := probe(proxy, run.plan.Keys[0])
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Wrapf(err, "waiting for proxy %s", proxy.Name)
		}
	}
}

// probe sends one read over a new connection.
func probe(proxy Process, key Key) error {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	connection, err := Connect(ctx, Target{Address: proxy.Address, Key: key})
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(ctx) }()
	_, err = connection.Exec(ctx, "GET ready")
	return err
}

// runScenario runs the load and causes the failures.
func (run *run) runScenario() error {
	ctx, stop := context.WithCancel(context.Background())
	workers := sync.WaitGroup{}
	defer workers.Wait()
	defer stop()
	addresses := []string{}
	for _, proxy := range run.plan.Proxies {
		addresses = append(addresses, proxy.Address)
	}
	for i := range sessionCount {
		worker := NewWorker(i, run.plan.Keys[0], addresses, run.history)
		workers.Go(func() { worker.Run(ctx) })
	}
	run.printf("%d sessions read and write and move between the proxies.", sessionCount)
	time.Sleep(steadyLoadTime)
	if err := run.killProxy(); err != nil {
		return err
	}
	if err := run.killPrimary(); err != nil {
		return err
	}
	return run.withdrawKey()
}

// leaderProxy returns the proxy named in the platform's term record of the group, or the first one if there is none.
func (run *run) leaderProxy() Process {
	object, err := run.client.Get(context.Background(), spool.KindTerm, group)
	if err != nil {
		return run.plan.Proxies[0]
	}
	record := struct{ Holder string }{}
	_ = json.Unmarshal(object.Body, &record)
	for _, proxy := range run.plan.Proxies {
		if proxy.Name == record.Holder {
			return proxy
		}
	}
	return run.plan.Proxies[0]
}

func (run *run) killProxy() error {
	leader := run.leaderProxy()
	run.printf("Killing proxy %s, the group's leader, under load.", leader.Name)
	killed := time.Now()
	if err := run.fleet.kill(leader); err != nil {
		return err
	}
	time.Sleep(proxyLossTime)
	gap := run.history.LongestWriteGap(killed.Add(-gapMargin), time.Now())
	run.printf("The longest time without an acknowledged write was %d ms.", gap.Milliseconds())
	run.requireWritesSince(killed.Add(proxyLossTime-time.Second), "after the loss of a proxy")
	return nil
}

func (run *run) killPrimary() error {
	oldPrimary, state, err := run.fleet.primary()
	if err != nil {
		return err
	}
	run.countForeignLogins(oldPrimary)
	if activity, err := Fetch[regsrv.Activity](oldPrimary, "/seen"); err == nil {
		run.killedServerPrimaryReads = activity.PrimaryReads
		run.killedServerReplicaReads = activity.ReplicaReads
	}
	run.printf("Killing server %s, the primary of term %d, under load.", oldPrimary.Name, state.Term)
	killed := time.Now()
	if err := run.fleet.kill(oldPrimary); err != nil {
		return err
	}
	time.Sleep(primaryLossTime)
	gap := run.history.LongestWriteGap(killed.Add(-gapMargin), time.Now())
	run.report.FailoverGapMillis = gap.Milliseconds()
	run.requireWritesSince(killed.Add(primaryLossTime-time.Second), "after the loss of the primary")
	successor, state, err := run.fleet.primary()
	if err != nil {
		run.failures = append(run.failures, "no server became primary")
		return nil
	}
	run.printf("Server %s became primary of term %d; writes paused for %d ms.",
		successor.Name, state.Term, gap.Milliseconds())
	return nil
}

// requireWritesSince adds a failure if no write was acknowledged after the given time.
func (run *run) requireWritesSince(since time.Time, when string) {
	if run.history.AcknowledgedSince(since) == 0 {
		run.failures = append(run.failures, "no write was acknowledged "+when)
	}
}

// countForeignLogins counts logins at the server with a user other than the proxy's or with a caller's key.
func (run *run) countForeignLogins(server Process) {
	activity, err := Fetch[regsrv.Activity](server, "/seen")
	if err != nil {
		return
	}
	for _, login := range activity.Logins {
		text := fmt.Sprint(login)
		isForeign := login.User != run.plan.BackendUser
		for _, key := range run.plan.Keys {
			isForeign = isForeign || strings.Contains(text, key.Name) || strings.Contains(text, key.Secret)
		}
		if isForeign {
			run.foreignLogins++
		}
	}
}

// finish checks the history against the primary's log and prints the report.
func (run *run) finish() error {
	time.Sleep(settleTime)
	primary, _, err := run.fleet.primary()
	if err != nil {
		return err
	}
	log, err := Fetch[[]regsrv.AppliedWrite](primary, "/log")
	if err != nil {
		return err
	}
	for _, server := range run.fleet.running(run.plan.Servers) {
		run.countForeignLogins(server)
	}
	run.violations = CheckWrites(run.history.Writes, log)
	run.history.CountMissingReads(log)
	run.fillReport()
	run.printSummary(len(log))
	violated := run.violatedGuarantees()
	for _, text := range violated {
		run.printf("BROKEN: %s.", text)
	}
	line, err := json.Marshal(run.report)
	if err != nil {
		return eris.Wrap(err, "encoding the report")
	}
	run.printf("%s", line)
	if len(violated) > 0 {
		return eris.Errorf("%d guarantees were violated", len(violated))
	}
	return nil
}

func (run *run) printSummary(applied int) {
	run.printf("Compared %d writes with the %d values in the primary's log.", len(run.history.Writes), applied)
	run.printf("%d requests took longer than %s, the slowest %d ms.",
		run.history.slowRequests, slowRequestThreshold, run.history.slowestRequest.Milliseconds())
	if run.history.lossReports > 0 {
		run.printf("The loss of data that a session had seen was reported %d times.", run.history.lossReports)
	}
	shown := 0
	for text, count := range run.history.ErrorCounts {
		if shown++; shown > maxShownErrors {
			break
		}
		run.printf("Errors seen: %d times %q.", count, text)
	}
}
