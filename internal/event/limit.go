package event

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	numberField     = "Event"
	suppressedField = "Suppressed"
	limitWindow     = time.Second
)

// RateLimit returns a logger that tells observe of each numbered event of level info or above, whether it is written or
// not, and writes no more events of a kind a second than its limit; the next one written gives the number left out.
func RateLimit(logger *zap.Logger, observe func(number Number)) *zap.Logger {
	limits := &limits{windows: map[Number]window{}}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &limited{Core: core, limits: limits, observe: observe}
	}))
}

// limited is a core that counts and limits numbered events.
type limited struct {
	zapcore.Core
	limits  *limits
	observe func(number Number)
}

// Enabled also lets pass what is only counted.
func (limited *limited) Enabled(level zapcore.Level) bool {
	return level >= zapcore.InfoLevel || limited.Core.Enabled(level)
}

// With returns a core with further fields and the same limits.
func (limited *limited) With(fields []zapcore.Field) zapcore.Core {
	with := *limited
	with.Core = limited.Core.With(fields)
	return &with
}

// Check adds the core to those that write the entry.
func (limited *limited) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !limited.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, limited)
}

// Write counts the entry's event and writes the entry within its limit.
func (limited *limited) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	number := numberOf(fields)
	if number > 0 {
		limited.observe(number)
	}
	if !limited.Core.Enabled(entry.Level) {
		return nil
	}
	suppressed, allowed := limited.limits.allow(number, entry.Time)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int(suppressedField, suppressed))
	}
	return limited.Core.Write(entry, fields)
}

// numberOf returns the number of an event that Log wrote, or zero.
func numberOf(fields []zapcore.Field) Number {
	if len(fields) == 0 {
		return 0
	}
	last := fields[len(fields)-1]
	if last.Key != numberField || last.Type != zapcore.Int64Type {
		return 0
	}
	return Number(last.Integer)
}

// limits counts what was written lately of the kinds that have a limit.
type limits struct {
	mutex   sync.Mutex
	windows map[Number]window
}

// window is what became of a kind's events since its beginning.
type window struct {
	begun      time.Time
	written    int
	suppressed int
}

func (limits *limits) allow(number Number, at time.Time) (suppressed int, allowed bool) {
	limit := kinds[number].PerSecond
	if limit == 0 {
		return 0, true
	}
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	current := limits.windows[number]
	if at.Sub(current.begun) >= limitWindow {
		current.begun = at
		current.written = 0
	}
	if current.written >= limit {
		current.suppressed++
		limits.windows[number] = current
		return 0, false
	}
	suppressed = current.suppressed
	current.written++
	current.suppressed = 0
	limits.windows[number] = current
	return suppressed, true
}
