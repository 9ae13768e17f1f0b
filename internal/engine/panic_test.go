package engine_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/engine"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// panickingLimiter panics when an operation is about to reach a server.
type panickingLimiter struct{}

func (panickingLimiter) Admit(context.Context, spool.Team, int) *spool.Refusal { return nil }

func (panickingLimiter) Finish(_ spool.Team, reached bool) {
	if reached {
		panic("fault for tests")
	}
}

// TestPanicEndsOnlyItsSession guards against a panic in one session that ends the process, keeps a connection from the others
// or leaves a transaction open.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	core, logs := observer.New(zapcore.InfoLevel)
	faulty := engine.New(fixture.pool, clock.Real{}, panickingLimiter{}, engine.WithLogger(zap.New(core)))
	faulty.SetConfig(&fixture.config)
	sessions := 2 * fixture.config.Groups["g1"].Connections
	for session := range sessions {
		caller := newScriptedCaller()
		done := serve(faulty, caller)
		caller.messages <- spool.CallerMessage{Kind: spool.MessageOpen, Route: "primary", Key: "key-red"}
		<-caller.answers
		if session%2 == 0 {
			caller.run(spool.VerbBegin, "BEGIN")
		}
		write := spool.Command{ID: "id", Verb: spool.VerbWrite, Text: "item one"}
		caller.messages <- spool.CallerMessage{Kind: spool.MessageCommand, Command: write}
		<-done
	}
	c.Assert(faulty.SessionCount(), qt.Equals, 0)
	recovered := 0
	for _, entry := range logs.All() {
		if entry.ContextMap()["Event"] == int64(event.PanicRecovered) {
			recovered++
		}
	}
	c.Assert(recovered, qt.Equals, sessions)
	fixture.connect("primary", "key-red").expect("WRITE item two", "DONE", "I")
	c.Assert(fixture.group.WrittenValues("item"), qt.DeepEquals, []string{"two"})
}
