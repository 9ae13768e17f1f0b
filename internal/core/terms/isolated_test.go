package terms

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestLeaderCutOffFromPlatformYields gives the lease of a group without a record to a proxy that the platform never
// answers. It must yield after PlatformLostAfter, so that another proxy can create the record.
func TestLeaderCutOffFromPlatformYields(t *testing.T) {
	leader := NewLeader("g", "vm0", 1)
	now := spool.Instant(time.Hour)
	yields := 0
	handle := func(event Event) {
		for _, effect := range leader.Handle(event, now) {
			switch effect := effect.(type) {
			case ReadTerm:
				defer leader.Handle(TermReadFailed{}, now)
			case Yield:
				yields++
				qt.Assert(t, effect.Backoff, qt.Equals, DefaultYieldBackoff)
			}
		}
	}
	handle(ServersChanged{Servers: []spool.ServerSpec{{Name: "s0"}}})
	handle(LeaseGained{})
	for range 90 {
		now = now.Add(10 * time.Millisecond)
		handle(Tick{})
	}
	qt.Assert(t, yields, qt.Equals, 0)
	for range 30 {
		now = now.Add(10 * time.Millisecond)
		handle(Tick{})
	}
	qt.Assert(t, yields, qt.Equals, 1)
}
