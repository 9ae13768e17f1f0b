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
	sessions         = 16
	readyTimeout     = 20 * time.Second
	pollInterval     = 25 * time.Millisecond
	calmTime         = 3 * time.Second
	proxyLossTime    = 5 * time.Second
	primaryLossTime  = 10 * time.Second
	withdrawalTime   = 5 * time.Second
	settleTime       = 500 * time.Millisecond
	gapLead          = 200 * time.Millisecond // before the kill
	maxShownProblems = 12
)

// run is one run of the demo.
type run struct {
	plan   Plan
	fleet  *fleet
	ledger *Ledger
	client *objapi.Client
	out    io.Writer

	verdict          Verdict
	report           Report
	withdrawal       time.Duration
	deadPrimaryReads int
	deadReplicaReads int
	strangers        int
	failures         []string
}

// Run drives the processes that the directory's plan and process ids name and prints what it does and a report; it
// fails if a promise was broken.
func Run(dir string, out io.Writer) error {
	plan, err := Load(dir)
	if err != nil {
		return err
	}
	fleet, err := newFleet(dir, plan)
	if err != nil {
		return err
	}
	run := &run{
		plan:   plan,
		fleet:  fleet,
		ledger: NewLedger(),
		client: objapi.New("http://" + plan.Platform),
		out:    out,
	}
	defer run.client.Close()
	if err := run.start(); err != nil {
		return err
	}
	if err := run.drive(); err != nil {
		return err
	}
	return run.finish()
}

func (run *run) say(format string, arguments ...any) {
	_, _ = fmt.Fprintf(run.out, format+"\n", arguments...)
}

// start waits until every proxy serves.
func (run *run) start() error {
	for _, proxy := range run.plan.Proxies {
		if err := run.awaitProxy(proxy); err != nil {
			return err
		}
		run.say("Proxy %s in %s serves on %s.", proxy.Name, proxy.Domain, proxy.Address)
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

// probe reads once over a connection of its own.
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

// drive runs the load and brings the failures about.
func (run *run) drive() error {
	ctx, stop := context.WithCancel(context.Background())
	workers := sync.WaitGroup{}
	defer workers.Wait()
	defer stop()
	addresses := []string{}
	for _, proxy := range run.plan.Proxies {
		addresses = append(addresses, proxy.Address)
	}
	for i := range sessions {
		worker := NewWorker(i, run.plan.Keys[0], addresses, run.ledger)
		workers.Go(func() { worker.Run(ctx) })
	}
	run.say("%d sessions read and write and roam between the proxies.", sessions)
	time.Sleep(calmTime)
	if err := run.loseProxy(); err != nil {
		return err
	}
	if err := run.losePrimary(); err != nil {
		return err
	}
	return run.withdraw()
}

// leader returns the proxy that the platform's term record of the group names, else the first one.
func (run *run) leader() Process {
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

func (run *run) loseProxy() error {
	victim := run.leader()
	run.say("Killing proxy %s, the group's leader, under load.", victim.Name)
	killed := time.Now()
	if err := run.fleet.kill(victim); err != nil {
		return err
	}
	time.Sleep(proxyLossTime)
	gap := run.ledger.Gap(killed.Add(-gapLead), time.Now())
	run.say("The longest time without an acknowledged write was %d ms.", gap.Milliseconds())
	run.expectWrites(killed.Add(proxyLossTime-time.Second), "after the loss of a proxy")
	return nil
}

func (run *run) losePrimary() error {
	victim, state, err := run.fleet.primary()
	if err != nil {
		return err
	}
	run.checkLogins(victim)
	if seen, err := Fetch[regsrv.Seen](victim, "/seen"); err == nil {
		run.deadPrimaryReads = seen.PrimaryReads
		run.deadReplicaReads = seen.ReplicaReads
	}
	run.say("Killing server %s, the primary of term %d, under load.", victim.Name, state.Term)
	killed := time.Now()
	if err := run.fleet.kill(victim); err != nil {
		return err
	}
	time.Sleep(primaryLossTime)
	gap := run.ledger.Gap(killed.Add(-gapLead), time.Now())
	run.report.FailoverGapMillis = gap.Milliseconds()
	run.expectWrites(killed.Add(primaryLossTime-time.Second), "after the loss of the primary")
	successor, state, err := run.fleet.primary()
	if err != nil {
		run.failures = append(run.failures, "no server became primary")
		return nil
	}
	run.say("Server %s became primary of term %d; writes paused for %d ms.",
		successor.Name, state.Term, gap.Milliseconds())
	return nil
}

// expectWrites notes a failure if no write was acknowledged since an instant.
func (run *run) expectWrites(since time.Time, when string) {
	if run.ledger.AnsweredSince(since) == 0 {
		run.failures = append(run.failures, "no write was acknowledged "+when)
	}
}

// checkLogins counts logins at the server that used another user than the proxy's own.
func (run *run) checkLogins(server Process) {
	seen, err := Fetch[regsrv.Seen](server, "/seen")
	if err != nil {
		return
	}
	for _, login := range seen.Logins {
		text := fmt.Sprint(login)
		foreign := login.User != run.plan.BackendUser
		for _, key := range run.plan.Keys {
			foreign = foreign || strings.Contains(text, key.Name) || strings.Contains(text, key.Secret)
		}
		if foreign {
			run.strangers++
		}
	}
}

// finish judges the run and prints the report.
func (run *run) finish() error {
	time.Sleep(settleTime)
	primary, _, err := run.fleet.primary()
	if err != nil {
		return err
	}
	log, err := Fetch[[]regsrv.Applied](primary, "/log")
	if err != nil {
		return err
	}
	for _, server := range run.fleet.living(run.plan.Servers) {
		run.checkLogins(server)
	}
	run.verdict = Judge(run.ledger.Writes, log)
	run.ledger.Settle(log)
	run.fill()
	run.summarize(len(log))
	broken := run.broken()
	for _, text := range broken {
		run.say("BROKEN: %s.", text)
	}
	line, err := json.Marshal(run.report)
	if err != nil {
		return eris.Wrap(err, "encoding the report")
	}
	run.say("%s", line)
	if len(broken) > 0 {
		return eris.Errorf("%d promises were broken", len(broken))
	}
	return nil
}

func (run *run) summarize(applied int) {
	run.say("Compared %d writes with the %d values in the primary's log.", len(run.ledger.Writes), applied)
	run.say("%d requests took longer than %s, the slowest %d ms.",
		run.ledger.slow, slowRequest, run.ledger.slowest.Milliseconds())
	if run.ledger.lost > 0 {
		run.say("%d sessions were told that what they had seen was lost.", run.ledger.lost)
	}
	shown := 0
	for problem, count := range run.ledger.Problems {
		if shown++; shown > maxShownProblems {
			break
		}
		run.say("Errors seen: %d times %q.", count, problem)
	}
}
