package leader_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/pkg/spool"
)

// answer is what a fake server does with one cycle.
type answer struct {
	text   string // passed on
	err    error
	result spool.Result
	during func() // runs after the server's answer and before the leader sees it
}

// script is what each server does with the cycles that it gets, in order.
type script map[spool.Server][]answer

// bench is a group on simulated time before scripted servers.
type bench struct {
	*qt.C
	clock clock.Simulated
	group *leader.Group
	plan  script
	ran   []spool.Server
}

type conn struct {
	bench  *bench
	server spool.Server
	broken bool
}

func (conn *conn) Exchange(_ context.Context, _ *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	steps := conn.bench.plan[conn.server]
	if len(steps) == 0 {
		return spool.Result{TxStatus: 'I', Sent: true}, nil
	}
	step := steps[0]
	conn.bench.plan[conn.server] = steps[1:]
	conn.bench.ran = append(conn.bench.ran, conn.server)
	if step.during != nil {
		step.during()
	}
	if step.text != "" {
		if _, err := sink.Write([]byte(step.text)); err != nil {
			return step.result, err
		}
	}
	if step.err != nil {
		conn.broken = !errors.Is(step.err, errReadOnly)
	}
	if step.result.TxStatus == 0 {
		step.result.TxStatus = 'I'
	}
	return step.result, step.err
}

func (conn *conn) Reset(context.Context) error { return nil }
func (conn *conn) Broken() bool                { return conn.broken }
func (conn *conn) Close()                      { conn.broken = true }

var (
	errReadOnly = &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeReadOnly}
	errUnsent   = &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary}
	errLost     = &spool.Refusal{Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown}
	written     = spool.Result{Token: spool.SessionToken{Term: 1, Position: 11}}
)

type output struct{ text string }

func (output *output) Write(messages []byte) (int, error) {
	output.text += string(messages)
	return len(messages), nil
}

func newBench(t *testing.T, plan script, options ...leader.Option) *bench {
	bench := &bench{C: qt.New(t), plan: plan}
	spec := spool.GroupSpec{Name: "g", Servers: []spool.ServerSpec{
		{Name: "primary", Slots: 1, Connections: 4}, {Name: "replica", Slots: 1, Connections: 4},
	}}
	dial := func(_ context.Context, server spool.ServerSpec) (leader.Conn, error) {
		return &conn{bench: bench, server: server.Name}, nil
	}
	bench.group = leader.New(spec, &bench.clock, dial, options...)
	bench.group.Open(terms.Open{Term: 1, Primary: "primary"})
	bench.group.See(spool.ServerStatus{Server: "primary", Term: 1, Position: 10, Primary: true}, 0)
	bench.group.See(spool.ServerStatus{Server: "replica", Term: 1, Position: 10}, 0)
	bench.group.SetFence(terms.Fence{Term: 1, Until: spool.Instant(time.Second)})
	return bench
}

// run sends one cycle and returns what the caller got, the verdict and the number of servers that ran it.
func (bench *bench) run(request leader.Request) (string, spool.Verdict, int) {
	request.Team, request.Deadline = "team", spool.Instant(time.Minute)
	output := &output{}
	_, err := bench.group.Start(request).Exchange(context.Background(), &spool.Cycle{}, output)
	var refusal *spool.Refusal
	if errors.As(err, &refusal) {
		return output.text, refusal.Verdict, len(bench.ran)
	}
	bench.Assert(err, qt.IsNil)
	return output.text, spool.VerdictAnswered, len(bench.ran)
}

func TestRetries(t *testing.T) {
	lost, unsent, readOnly := answer{err: errLost}, answer{err: errUnsent}, answer{err: errReadOnly}
	good := answer{text: "good"}
	partial := answer{text: "part", err: errLost}
	cases := []struct {
		name    string
		plan    script
		request leader.Request
		verdict spool.Verdict
		ran     int
	}{
		{"a write that was lost is not repeated", script{"primary": {lost, good}}, leader.Request{}, spool.VerdictUnknown, 1},
		{"a write that was never sent is", script{"primary": {unsent, good}}, leader.Request{}, spool.VerdictAnswered, 2},
		{"an idempotent write is", script{"primary": {lost, good}}, leader.Request{Idempotent: true}, spool.VerdictAnswered, 2},
		{"a read that a replica lost is", script{"replica": {lost, good}, "primary": {good}}, leader.Request{Read: true}, spool.VerdictAnswered, 2},
		{"a write taken for a read goes to the primary", script{"replica": {readOnly}, "primary": {good}}, leader.Request{Read: true}, spool.VerdictAnswered, 2},
		{"and is not repeated there", script{"replica": {readOnly}, "primary": {lost, good}}, leader.Request{Read: true}, spool.VerdictUnknown, 2},
		{"a read that was answered in part is not", script{"replica": {partial, good}, "primary": {good}}, leader.Request{Read: true}, spool.VerdictUnknown, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(t, test.plan)
			text, verdict, ran := bench.run(test.request)
			bench.Check(verdict, qt.Equals, test.verdict)
			bench.Check(ran, qt.Equals, test.ran)
			if verdict == spool.VerdictAnswered {
				bench.Check(text, qt.Equals, "good")
			}
		})
	}
}

// TestNoAcknowledgementAfterTheLease ends the lease between the server's answer and the acknowledgement.
func TestNoAcknowledgementAfterTheLease(t *testing.T) {
	cases := []struct {
		name string
		end  func(bench *bench)
	}{
		{"paused", func(bench *bench) { bench.clock.Advance(2 * time.Second) }},
		{"closed", func(bench *bench) { bench.group.SetFence(terms.Fence{}) }},
		{"next term", func(bench *bench) {
			bench.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
		}},
		{"dropped", func(bench *bench) { bench.group.Drop() }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var bench *bench
			step := answer{text: "done", result: written, during: func() { test.end(bench) }}
			bench = newBench(t, script{"primary": {step}})
			text, verdict, ran := bench.run(leader.Request{})
			bench.Check(text, qt.Equals, "")
			bench.Check(verdict, qt.Equals, spool.VerdictUnknown)
			bench.Check(ran, qt.Equals, 1)
		})
	}
}

func TestAcknowledgementAfterTheLeaseWithoutFence(t *testing.T) {
	var bench *bench
	step := answer{text: "done", result: written, during: func() { bench.clock.Advance(2 * time.Second) }}
	bench = newBench(t, script{"primary": {step}}, leader.WithoutFence())
	text, verdict, _ := bench.run(leader.Request{})
	bench.Assert(text, qt.Equals, "done")
	bench.Assert(verdict, qt.Equals, spool.VerdictAnswered)
}

// TestDurableWriteSurvivesOrSaysSo changes the term while a write waits for a replica.
func TestDurableWriteSurvivesOrSaysSo(t *testing.T) {
	cases := []struct {
		start   spool.Position
		verdict spool.Verdict
	}{{11, spool.VerdictAnswered}, {10, spool.VerdictUnknown}}
	for _, test := range cases {
		var bench *bench
		promote := func() {
			bench.group.Close()
			bench.group.Open(terms.Open{Term: 2, Primary: "replica", Start: test.start})
			bench.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
		}
		step := answer{text: "done", result: written, during: func() { go promote() }}
		bench = newBench(t, script{"primary": {step}})
		_, verdict, _ := bench.run(leader.Request{Durable: true})
		bench.Check(verdict, qt.Equals, test.verdict, qt.Commentf("start %d", test.start))
	}
}

// TestQueuedRequestsFollowThePrimary promotes a replica while a request waits for a slot on the old primary.
func TestQueuedRequestsFollowThePrimary(t *testing.T) {
	open := answer{text: "held", result: spool.Result{TxStatus: 'T'}}
	bench := newBench(t, script{"primary": {open}, "replica": {{text: "good"}}})
	holder := bench.group.Start(leader.Request{Team: "team", Deadline: spool.Instant(time.Minute)})
	_, err := holder.Exchange(context.Background(), &spool.Cycle{}, &output{})
	bench.Assert(err, qt.IsNil)
	done := make(chan string)
	go func() {
		text, _, _ := bench.run(leader.Request{})
		done <- text
	}()
	time.Sleep(20 * time.Millisecond)
	bench.group.Miss("primary")
	bench.group.Open(terms.Open{Term: 2, Primary: "replica", Start: 10})
	bench.group.See(spool.ServerStatus{Server: "replica", Term: 2, Position: 10, Primary: true}, 0)
	bench.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
	select {
	case text := <-done:
		bench.Assert(text, qt.Equals, "good")
	case <-time.After(10 * time.Second):
		bench.Fatal("the request still waits for the old primary")
	}
}

// TestLostWriteIsReportedOnce shows a token whose write the promotion left behind.
func TestLostWriteIsReportedOnce(t *testing.T) {
	bench := newBench(t, script{"replica": {{text: "read"}}})
	bench.group.Open(terms.Open{Term: 2, Primary: "replica", Start: 10})
	bench.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
	request := leader.Request{
		Team: "team", Deadline: spool.Instant(time.Minute), Read: true,
		Token: spool.SessionToken{Group: "g", Term: 1, Position: 12},
	}
	result, err := bench.group.Start(request).Exchange(context.Background(), &spool.Cycle{}, &output{})
	var refusal *spool.Refusal
	bench.Assert(errors.As(err, &refusal), qt.IsTrue)
	bench.Assert(refusal.Verdict, qt.Equals, spool.VerdictLost)
	request.Token = result.Token
	_, err = bench.group.Start(request).Exchange(context.Background(), &spool.Cycle{}, &output{})
	bench.Assert(err, qt.IsNil)
}

// TestRefusalsKeepTheCauseFromCallers fails to connect and expects neither address nor account in what callers read.
func TestRefusalsKeepTheCauseFromCallers(t *testing.T) {
	c := qt.New(t)
	cause := errors.New("dial tcp 10.0.0.1:5432: user=spool")
	dial := func(context.Context, spool.ServerSpec) (leader.Conn, error) { return nil, cause }
	timers := &clock.Simulated{}
	group := leader.New(spool.GroupSpec{Name: "g", Servers: []spool.ServerSpec{{Name: "primary", Slots: 1}}}, timers, dial)
	group.Open(terms.Open{Term: 1, Primary: "primary"})
	group.See(spool.ServerStatus{Server: "primary", Term: 1, Primary: true}, 0)
	_, err := group.Start(leader.Request{Team: "team"}).Exchange(context.Background(), &spool.Cycle{}, &output{})
	var refusal *spool.Refusal
	c.Assert(errors.As(err, &refusal), qt.IsTrue)
	c.Assert(refusal.Message, qt.Equals, "server primary cannot be reached")
	c.Assert(errors.Is(err, cause), qt.IsTrue)
}
