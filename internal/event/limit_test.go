package event

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// manualClock is a clock that a test sets.
type manualClock struct {
	zapcore.Clock
	now time.Time
}

func (clock *manualClock) Now() time.Time { return clock.now }

func TestRateLimitCountsSuppressedEvents(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	clock := &manualClock{Clock: zapcore.DefaultClock, now: time.Unix(1000, 0)}
	counted := map[Number]int{}
	logger := RateLimit(zap.New(core, zap.WithClock(clock)), func(number Number) { counted[number]++ })
	limit := kinds[ProtocolViolation].PerSecond
	for range limit + 7 {
		Log(logger, ProtocolViolation)
		Log(logger.With(zap.String("VM", "a")), TermOpened)
	}
	c.Assert(logs.FilterMessage(kinds[ProtocolViolation].Text).Len(), qt.Equals, limit)
	c.Assert(logs.FilterMessage(kinds[TermOpened].Text).Len(), qt.Equals, limit+7)
	c.Assert(counted, qt.DeepEquals, map[Number]int{ProtocolViolation: limit + 7, TermOpened: limit + 7})
	clock.now = clock.now.Add(limitWindow)
	Log(logger, ProtocolViolation)
	Log(logger, ProtocolViolation)
	c.Assert(logs.FilterField(zap.Int(suppressedField, 7)).Len(), qt.Equals, 1)
	c.Assert(logs.FilterMessage(kinds[ProtocolViolation].Text).Len(), qt.Equals, limit+2)
}

func TestEventsBelowLevelAreOnlyCounted(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zapcore.ErrorLevel)
	counted := 0
	logger := RateLimit(zap.New(core), func(Number) { counted++ })
	Log(logger, TermOpened)
	logger.Debug("not numbered")
	c.Assert(logs.Len(), qt.Equals, 0)
	c.Assert(counted, qt.Equals, 1)
}
