package fleet

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// TestFailedConfigWatchIsLogged guards against watches that fail without a trace while the reads go on, and against entries for
// a discarded history or a shutdown, which are no failures.
func TestFailedConfigWatchIsLogged(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	for _, example := range []struct {
		name   string
		ctx    context.Context
		err    error
		logged int
	}{
		{"failed", context.Background(), errors.New("refused"), 1},
		{"discarded history", context.Background(), spool.ErrCompacted, 0},
		{"shutdown", ended, context.Canceled, 0},
	} {
		core, logs := observer.New(zapcore.InfoLevel)
		settings := spool.FleetSettings{VM: "vm1", MemoryBytes: 1 << 30}
		proxy := New(settings, platform.New(settings, nil), clock.Real{}, zap.New(core))
		proxy.reader.logWatchFailure(example.ctx, example.err)
		failures := logs.FilterField(zap.Int("Event", int(event.StoreReadFailed))).Len()
		qt.Check(t, failures, qt.Equals, example.logged, qt.Commentf("%s", example.name))
	}
}
