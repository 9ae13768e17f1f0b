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

// serverAnswer is a fake server's answer to one cycle.
type serverAnswer struct {
	text         string // written to the sink
	err          error
	result       spool.Result
	beforeReturn func() // runs after the server's answer and before the group receives it
}

// script lists each server's answers to its cycles, in order.
type script map[spool.Server][]serverAnswer

// fixture is a group with simulated time and scripted servers.
type fixture struct {
	*qt.C
	clock      clock.Simulated
	group      *leader.Group
	script     script
	executedOn []spool.Server
}

type conn struct {
	fixture *fixture
	server  spool.Server
	broken  bool
}

func (conn *conn) Exchange(_ context.Context, _ *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	steps := conn.fixture.script[conn.server]
	if len(steps) == 0 {
		return spool.Result{TxStatus: 'I', Sent: true}, nil
	}
	step := steps[0]
	conn.fixture.script[conn.server] = steps[1:]
	conn.fixture.executedOn = append(conn.fixture.executedOn, conn.server)
	if step.beforeReturn != nil {
		step.beforeReturn()
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

func newFixture(t *testing.T, script script, options ...leader.Option) *fixture {
	fixture := &fixture{C: qt.New(t), script: script}
	spec := spool.GroupSpec{Name: "g", Servers: []spool.ServerSpec{
		{Name: "primary", Slots: 1, Connections: 4}, {Name: "replica", Slots: 1, Connections: 4},
	}}
	dial := func(_ context.Context, server spool.ServerSpec) (leader.Conn, error) {
		return &conn{fixture: fixture, server: server.Name}, nil
	}
	fixture.group = leader.New(spec, &fixture.clock, dial, options...)
	fixture.group.OpenTerm(terms.Open{Term: 1, Primary: "primary"})
	fixture.group.RecordStatus(spool.ServerStatus{Server: "primary", Term: 1, Position: 10, Primary: true}, 0)
	fixture.group.RecordStatus(spool.ServerStatus{Server: "replica", Term: 1, Position: 10}, 0)
	fixture.group.SetFence(terms.Fence{Term: 1, Until: spool.Instant(time.Second)})
	return fixture
}

// run sends one cycle and returns the answer's text, the verdict and the number of exchanges on servers.
func (fixture *fixture) run(request leader.Request) (string, spool.Verdict, int) {
	request.Team, request.Deadline = "team", spool.Instant(time.Minute)
	output := &output{}
	_, err := fixture.group.NewExecutor(request).Exchange(context.Background(), &spool.Cycle{}, output)
	var refusal *spool.Refusal
	if errors.As(err, &refusal) {
		return output.text, refusal.Verdict, len(fixture.executedOn)
	}
	fixture.Assert(err, qt.IsNil)
	return output.text, spool.VerdictAnswered, len(fixture.executedOn)
}

func TestRetries(t *testing.T) {
	lost, unsent, readOnly := serverAnswer{err: errLost}, serverAnswer{err: errUnsent}, serverAnswer{err: errReadOnly}
	good := serverAnswer{text: "good"}
	partial := serverAnswer{text: "part", err: errLost}
	cases := []struct {
		name    string
		script  script
		request leader.Request
		verdict spool.Verdict
		ran     int
	}{
		{"lost write is not repeated", script{"primary": {lost, good}}, leader.Request{}, spool.VerdictUnknown, 1},
		{"unsent write is repeated", script{"primary": {unsent, good}}, leader.Request{}, spool.VerdictAnswered, 2},
		{"lost idempotent write is repeated", script{"primary": {lost, good}}, leader.Request{Idempotent: true}, spool.VerdictAnswered, 2},
		{"read lost by a replica is repeated", script{"replica": {lost, good}, "primary": {good}}, leader.Request{Read: true}, spool.VerdictAnswered, 2},
		{"write refused by a read-only replica is repeated on the primary", script{"replica": {readOnly}, "primary": {good}}, leader.Request{Read: true}, spool.VerdictAnswered, 2},
		{"refused write that the primary lost is not repeated again", script{"replica": {readOnly}, "primary": {lost, good}}, leader.Request{Read: true}, spool.VerdictUnknown, 2},
		{"partly answered read is not repeated", script{"replica": {partial, good}, "primary": {good}}, leader.Request{Read: true}, spool.VerdictUnknown, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, test.script)
			text, verdict, ran := fixture.run(test.request)
			fixture.Check(verdict, qt.Equals, test.verdict)
			fixture.Check(ran, qt.Equals, test.ran)
			if verdict == spool.VerdictAnswered {
				fixture.Check(text, qt.Equals, "good")
			}
		})
	}
}

// TestNoAcknowledgementAfterLeaseEnd ends the lease between the server's answer and the acknowledgement: the answer of a
// primary that may have been replaced must not reach the caller.
func TestNoAcknowledgementAfterLeaseEnd(t *testing.T) {
	cases := []struct {
		name string
		end  func(fixture *fixture)
	}{
		{"paused", func(fixture *fixture) { fixture.clock.Advance(2 * time.Second) }},
		{"closed", func(fixture *fixture) { fixture.group.SetFence(terms.Fence{}) }},
		{"next term", func(fixture *fixture) {
			fixture.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
		}},
		{"shut down", func(fixture *fixture) { fixture.group.Shutdown() }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var fixture *fixture
			step := serverAnswer{text: "done", result: written, beforeReturn: func() { test.end(fixture) }}
			fixture = newFixture(t, script{"primary": {step}})
			text, verdict, ran := fixture.run(leader.Request{})
			fixture.Check(text, qt.Equals, "")
			fixture.Check(verdict, qt.Equals, spool.VerdictUnknown)
			fixture.Check(ran, qt.Equals, 1)
		})
	}
}

func TestAcknowledgementAfterLeaseEndWithoutFence(t *testing.T) {
	var fixture *fixture
	step := serverAnswer{text: "done", result: written, beforeReturn: func() { fixture.clock.Advance(2 * time.Second) }}
	fixture = newFixture(t, script{"primary": {step}}, leader.WithoutFence())
	text, verdict, _ := fixture.run(leader.Request{})
	fixture.Assert(text, qt.Equals, "done")
	fixture.Assert(verdict, qt.Equals, spool.VerdictAnswered)
}

// TestDurableWriteSurvivesOrIsUnknown opens a new term while a write waits for a replica: the write counts as answered
// only if the new term's log contains it.
func TestDurableWriteSurvivesOrIsUnknown(t *testing.T) {
	cases := []struct {
		start   spool.Position
		verdict spool.Verdict
	}{{11, spool.VerdictAnswered}, {10, spool.VerdictUnknown}}
	for _, test := range cases {
		var fixture *fixture
		promote := func() {
			fixture.group.CloseTerm()
			fixture.group.OpenTerm(terms.Open{Term: 2, Primary: "replica", Start: test.start})
			fixture.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
		}
		step := serverAnswer{text: "done", result: written, beforeReturn: func() { go promote() }}
		fixture = newFixture(t, script{"primary": {step}})
		_, verdict, _ := fixture.run(leader.Request{Durable: true})
		fixture.Check(verdict, qt.Equals, test.verdict, qt.Commentf("start %d", test.start))
	}
}

// TestQueuedRequestsFollowPrimary promotes a replica while a request waits for a slot on the old primary.
func TestQueuedRequestsFollowPrimary(t *testing.T) {
	open := serverAnswer{text: "held", result: spool.Result{TxStatus: 'T'}}
	fixture := newFixture(t, script{"primary": {open}, "replica": {{text: "good"}}})
	executor := fixture.group.NewExecutor(leader.Request{Team: "team", Deadline: spool.Instant(time.Minute)})
	_, err := executor.Exchange(context.Background(), &spool.Cycle{}, &output{})
	fixture.Assert(err, qt.IsNil)
	done := make(chan string)
	go func() {
		text, _, _ := fixture.run(leader.Request{})
		done <- text
	}()
	time.Sleep(20 * time.Millisecond)
	fixture.group.MarkDown("primary")
	fixture.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)}) // before the term, as the node does
	fixture.group.OpenTerm(terms.Open{Term: 2, Primary: "replica", Start: 10})
	fixture.group.RecordStatus(spool.ServerStatus{Server: "replica", Term: 2, Position: 10, Primary: true}, 0)
	select {
	case text := <-done:
		fixture.Assert(text, qt.Equals, "good")
	case <-time.After(10 * time.Second):
		fixture.Fatal("the request still waits for the old primary")
	}
}

// TestLostWriteIsReportedOnce sends a token for a write that did not survive a promotion: the first request reports the
// loss, and the token that it returns is accepted.
func TestLostWriteIsReportedOnce(t *testing.T) {
	fixture := newFixture(t, script{"replica": {{text: "read"}}})
	fixture.group.OpenTerm(terms.Open{Term: 2, Primary: "replica", Start: 10})
	fixture.group.SetFence(terms.Fence{Term: 2, Until: spool.Instant(time.Minute)})
	request := leader.Request{
		Team: "team", Deadline: spool.Instant(time.Minute), Read: true,
		Token: spool.SessionToken{Group: "g", Term: 1, Position: 12},
	}
	result, err := fixture.group.NewExecutor(request).Exchange(context.Background(), &spool.Cycle{}, &output{})
	var refusal *spool.Refusal
	fixture.Assert(errors.As(err, &refusal), qt.IsTrue)
	fixture.Assert(refusal.Verdict, qt.Equals, spool.VerdictLost)
	request.Token = result.Token
	_, err = fixture.group.NewExecutor(request).Exchange(context.Background(), &spool.Cycle{}, &output{})
	fixture.Assert(err, qt.IsNil)
}

// TestRefusalsHideCauseFromCallers fails to connect and checks that the message has neither address nor user.
func TestRefusalsHideCauseFromCallers(t *testing.T) {
	c := qt.New(t)
	cause := errors.New("dial tcp 10.0.0.1:5432: user=spool")
	dial := func(context.Context, spool.ServerSpec) (leader.Conn, error) { return nil, cause }
	timers := &clock.Simulated{}
	group := leader.New(spool.GroupSpec{Name: "g", Servers: []spool.ServerSpec{{Name: "primary", Slots: 1}}}, timers, dial)
	group.OpenTerm(terms.Open{Term: 1, Primary: "primary"})
	group.RecordStatus(spool.ServerStatus{Server: "primary", Term: 1, Primary: true}, 0)
	_, err := group.NewExecutor(leader.Request{Team: "team"}).Exchange(context.Background(), &spool.Cycle{}, &output{})
	var refusal *spool.Refusal
	c.Assert(errors.As(err, &refusal), qt.IsTrue)
	c.Assert(refusal.Message, qt.Equals, "server primary cannot be reached")
	c.Assert(errors.Is(err, cause), qt.IsTrue)
}
