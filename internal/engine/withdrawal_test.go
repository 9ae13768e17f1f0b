package engine_test

import (
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/engine"
	"corianderspool.example/spool/pkg/spool"
)

// scriptedCaller passes messages to a session one by one, so that a test controls what happens between two of them.
type scriptedCaller struct {
	spool.CallerConn
	messages   chan spool.CallerMessage
	answers    chan spool.Answer
	rejected   chan *spool.Refusal
	interrupts chan struct{}
}

func newScriptedCaller() *scriptedCaller {
	return &scriptedCaller{
		messages: make(chan spool.CallerMessage), answers: make(chan spool.Answer, 1), rejected: make(chan *spool.Refusal, 1),
		interrupts: make(chan struct{}, 1),
	}
}

func (scriptedCaller *scriptedCaller) Receive(time.Time) (spool.CallerMessage, error) {
	message, open := <-scriptedCaller.messages
	if !open {
		return message, os.ErrClosed
	}
	return message, nil
}

func (scriptedCaller *scriptedCaller) Buffered() bool { return false }

func (scriptedCaller *scriptedCaller) Accept() error {
	scriptedCaller.answers <- spool.Answer{State: spool.TxIdle}
	return nil
}

func (scriptedCaller *scriptedCaller) Answer(answer spool.Answer) error {
	scriptedCaller.answers <- answer
	return nil
}

func (scriptedCaller *scriptedCaller) Reject(refusal *spool.Refusal) error {
	scriptedCaller.rejected <- refusal
	return nil
}

// Interrupt has no effect on Receive, as if the next message had arrived before it.
func (scriptedCaller *scriptedCaller) Interrupt() { scriptedCaller.interrupts <- struct{}{} }

func (scriptedCaller *scriptedCaller) Close() error { return nil }

func (scriptedCaller *scriptedCaller) run(verb spool.Verb, text string) spool.Answer {
	command := spool.Command{ID: "id", Verb: verb, Text: text}
	scriptedCaller.messages <- spool.CallerMessage{Kind: spool.MessageCommand, Command: command}
	return <-scriptedCaller.answers
}

// serve runs a session in the background; the channel is closed when it has ended.
func serve(engine *engine.Engine, caller *scriptedCaller) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		engine.Serve(context.Background(), caller)
	}()
	return done
}

func (fixture *fixture) serve(caller *scriptedCaller) {
	done := serve(fixture.engine, caller)
	fixture.Cleanup(func() {
		close(caller.messages)
		<-done
	})
}

// TestStateAfterWithdrawalInTransaction guards against a COMMIT or statement that is received together with the withdrawal of
// its key and is answered with a wrong transaction state: after a COMMIT the session is idle, after a statement it has failed.
func TestStateAfterWithdrawalInTransaction(t *testing.T) {
	for _, test := range []struct {
		verb  spool.Verb
		text  string
		state spool.TxState
	}{
		{spool.VerbCommit, "COMMIT", spool.TxIdle},
		{spool.VerbRead, "READ item", spool.TxFailed},
		{spool.VerbRollback, "ROLLBACK", spool.TxIdle},
	} {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			fixture := newFixture(t)
			caller := newScriptedCaller()
			fixture.serve(caller)
			caller.messages <- spool.CallerMessage{Kind: spool.MessageOpen, Route: "primary", Key: "key-red"}
			c.Assert((<-caller.answers).State, qt.Equals, spool.TxIdle)
			caller.run(spool.VerbBegin, "BEGIN")
			c.Assert(caller.run(spool.VerbWrite, "WRITE item one").Refusal == nil, qt.IsTrue)
			config := fixture.config
			config.Keys = map[string]spool.Team{"key-blue": "blue"}
			fixture.setConfig(config)
			c.Assert(len(caller.interrupts), qt.Equals, 1)
			answer := caller.run(test.verb, test.text)
			c.Assert(string(answer.State), qt.Equals, string(test.state))
			if test.verb != spool.VerbRollback {
				c.Assert(answer.Refusal.Code, qt.Equals, spool.CodeRolledBack)
			}
			c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
		})
	}
}

// TestNoWriteAfterWithdrawalDuringWait guards against a write that waits for a connection while its key is withdrawn, and is sent
// once a connection is free.
func TestNoWriteAfterWithdrawalDuringWait(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	held := fixture.holdShare()
	caller := newScriptedCaller()
	fixture.serve(caller)
	caller.messages <- spool.CallerMessage{Kind: spool.MessageOpen, Route: "primary", Key: "key-red"}
	c.Assert((<-caller.answers).State, qt.Equals, spool.TxIdle)
	command := spool.Command{ID: "id", Verb: spool.VerbWrite, Text: "WRITE item one"}
	caller.messages <- spool.CallerMessage{Kind: spool.MessageCommand, Command: command}
	time.Sleep(50 * time.Millisecond) // the write waits
	c.Assert(caller.answers, qt.HasLen, 0)
	config := fixture.config
	config.Keys = map[string]spool.Team{"key-blue": "blue"}
	fixture.setConfig(config)
	for _, conn := range held {
		fixture.pool.Release(conn)
	}
	answer := <-caller.answers
	c.Assert(answer.Refusal != nil, qt.IsTrue)
	c.Assert(answer.Refusal.Code, qt.Equals, spool.CodeBadKey)
	c.Assert(answer.Refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
}

// TestSessionsOpenWhileConfigurationChanges opens sessions while their key is withdrawn. It guards against a data race between
// the change and the session, and against an accepted session that the change did not see and does not interrupt.
func TestSessionsOpenWhileConfigurationChanges(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	withdrawn := fixture.config
	withdrawn.Keys = map[string]spool.Team{"key-blue": "blue"}
	for range 50 {
		fixture.setConfig(fixture.config)
		caller := newScriptedCaller()
		done := serve(fixture.engine, caller)
		opened := make(chan bool)
		go func() {
			caller.messages <- spool.CallerMessage{Kind: spool.MessageOpen, Route: "primary", Key: "key-red"}
			select {
			case <-caller.answers:
				opened <- true
			case <-caller.rejected:
				opened <- false
			}
		}()
		fixture.setConfig(withdrawn)
		if <-opened {
			c.Assert(len(caller.interrupts), qt.Equals, 1)
		}
		close(caller.messages)
		<-done
	}
}
