package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// TestReload applies settings that may change, logs when a restart is needed, and keeps the current settings if the file is
// invalid.
func TestReload(t *testing.T) {
	c := qt.New(t)
	core, logs := zapobserver.New(zapcore.InfoLevel)
	settings := spool.FleetSettings{VM: "vm1", MemoryBytes: 1 << 30, Bounds: spool.FleetBounds{Drain: 7 * time.Second}}
	proxy := New(settings, platform.New(settings, nil), clock.Real{}, zap.New(core))
	proxy.reload(func() (spool.FleetSettings, spool.Faults) { return settings, nil }, "test")
	c.Assert(logs.Len(), qt.Equals, 0)
	changed := settings
	changed.Bounds.Drain = 9 * time.Second
	proxy.reload(func() (spool.FleetSettings, spool.Faults) { return changed, nil }, "test")
	c.Assert(logs.TakeAll()[0].ContextMap()["RestartNeeded"], qt.IsFalse)
	changed.Callers = "127.0.0.1:1"
	proxy.reload(func() (spool.FleetSettings, spool.Faults) { return changed, nil }, "test")
	c.Assert(logs.TakeAll()[0].ContextMap()["RestartNeeded"], qt.IsTrue)
	faults := spool.Faults{{Path: "zone", Reason: "is missing"}}
	proxy.reload(func() (spool.FleetSettings, spool.Faults) { return spool.FleetSettings{}, faults }, "test")
	entry := logs.TakeAll()[0]
	c.Assert(entry.Message, qt.Equals, "settings rejected")
	c.Assert(entry.ContextMap()["Cause"], qt.Equals, "zone: is missing")
	c.Assert(proxy.lastReloaded, qt.DeepEquals, changed)
}
