package guard_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/guard"
)

func descend(depth int) {
	if depth == 0 {
		panic(strings.Repeat("x", 1<<20))
	}
	descend(depth - 1)
}

// TestPanicIsLoggedAndCounted guards against a panic that ends the process, one that is not counted, and a log entry of
// unbounded length.
func TestPanicIsLoggedAndCounted(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	counted := 0
	logger := event.RateLimit(zap.New(core), func(number event.Number) {
		c.Check(number, qt.Equals, event.PanicRecovered)
		counted++
	})
	for range 100 {
		c.Assert(guard.Run(logger, func() { descend(500) }, zap.String("Part", "session")), qt.IsTrue)
	}
	c.Assert(guard.Run(logger, func() {}), qt.IsFalse)
	c.Assert(counted, qt.Equals, 100)
	c.Assert(logs.Len() < 100, qt.IsTrue)
	fields := logs.All()[0].ContextMap()
	c.Assert(fields["Part"], qt.Equals, "session")
	c.Assert(len(fields["Panic"].(string)) <= 512, qt.IsTrue)
	c.Assert(len(fields["Stack"].(string)) <= 4<<10, qt.IsTrue)
	c.Assert(fields["Stack"], qt.Contains, "guard_test")
}
