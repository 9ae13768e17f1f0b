package core_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/pkg/spool"
)

// TestFailedReadsBackOff checks that failing reads of the platform are retried with backoff up to 4 s, at different
// instants on two proxies.
func TestFailedReadsBackOff(t *testing.T) {
	c := qt.New(t)
	first := failedReads(1, time.Minute)
	second := failedReads(1_234_567_890, time.Minute)
	for _, reads := range [][]spool.Instant{first, second} {
		c.Assert(len(reads) >= 60/4 && len(reads) <= 60/2+5, qt.IsTrue, qt.Commentf("%d reads", len(reads)))
		for i := 1; i < len(reads); i++ {
			c.Assert(reads[i].Sub(reads[i-1]) <= 4*time.Second+20*time.Millisecond, qt.IsTrue)
		}
	}
	c.Assert(first, qt.Not(qt.DeepEquals), second)
}

// failedReads returns when a proxy reads the platform while every read fails.
func failedReads(incarnation uint64, span time.Duration) []spool.Instant {
	proxy := core.New(spool.Member{VM: "vm-1", Domain: "d1", Incarnation: incarnation}, 0)
	reads := []spool.Instant{}
	for now := spool.Instant(0); now < spool.Instant(span); now = now.Add(10 * time.Millisecond) {
		for _, effect := range proxy.Handle(core.Tick{}, now) {
			if _, isRead := effect.(core.ReadObjects); isRead {
				reads = append(reads, now)
				proxy.Handle(core.ObjectsFailed{}, now)
				break
			}
		}
	}
	return reads
}
