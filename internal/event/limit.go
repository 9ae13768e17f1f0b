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

// RateLimit returns a logger that calls observe for each numbered event of level info or above, logged or not, and logs
// at most PerSecond events of a kind; the next logged event of that kind has the number of suppressed ones as a field.
func RateLimit(logger *zap.Logger, observe func(number Number)) *zap.Logger {
	limits := &limits{windows: map[Number]window{}}
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &limitedCore{Core: core, limits: limits, observe: observe}
	}))
}

// limitedCore is a zapcore.Core that counts and rate-limits numbered events.
type limitedCore struct {
	zapcore.Core
	limits  *limits
	observe func(number Number)
}

// Enabled reports true from level info on, so that events below the log level are counted as well.
func (core *limitedCore) Enabled(level zapcore.Level) bool {
	return level >= zapcore.InfoLevel || core.Core.Enabled(level)
}

// With returns a core with additional fields and the same limits.
func (core *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	with := *core
	with.Core = core.Core.With(fields)
	return &with
}

// Check adds the core to checked if its level is enabled.
func (core *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !core.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, core)
}

// Write counts the event of the entry and writes the entry unless its limit is exceeded.
func (core *limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	number := eventNumber(fields)
	if number > 0 {
		core.observe(number)
	}
	if !core.Core.Enabled(entry.Level) {
		return nil
	}
	suppressed, allowed := core.limits.allow(number, entry.Time)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int(suppressedField, suppressed))
	}
	return core.Core.Write(entry, fields)
}

// eventNumber returns the event number of an entry written by Log, or zero.
func eventNumber(fields []zapcore.Field) Number {
	if len(fields) == 0 {
		return 0
	}
	last := fields[len(fields)-1]
	if last.Key != numberField || last.Type != zapcore.Int64Type {
		return 0
	}
	return Number(last.Integer)
}

// limits counts the recently written events of each kind that has a limit.
type limits struct {
	mutex   sync.Mutex
	windows map[Number]window
}

// window counts the events of a kind written since its start, and those suppressed since the last written one.
type window struct {
	start      time.Time
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
	if at.Sub(current.start) >= limitWindow {
		current.start = at
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
