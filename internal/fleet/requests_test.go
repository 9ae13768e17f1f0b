package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

const testStart = spool.Instant(time.Hour)

// TestOneRequestInProgress guards against requests that are repeated before a slow proxy could answer the first one.
func TestOneRequestInProgress(t *testing.T) {
	c := qt.New(t)
	request := singleRequest{}
	sent := 0
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 10 * time.Millisecond {
		if request.begin(testStart.Add(elapsed)) {
			sent++
		}
	}
	c.Assert(sent, qt.Equals, 3)
	request.waiting = false
	c.Assert(request.begin(testStart.Add(3*time.Second)), qt.IsTrue)
	c.Assert(request.begin(testStart.Add(3*time.Second+requestInterval)), qt.IsFalse)
}

// TestChangesShareABurst guards against a burst of heartbeats to the region for each of many changes, and against a last change
// that is not announced.
func TestChangesShareABurst(t *testing.T) {
	c := qt.New(t)
	gate := burstGate{}
	wait, due := gate.request(testStart)
	c.Assert(wait, qt.Equals, time.Duration(0))
	c.Assert(due, qt.IsTrue)
	wait, due = gate.request(testStart.Add(10 * time.Millisecond))
	c.Assert(wait, qt.Equals, notifyInterval-10*time.Millisecond)
	c.Assert(due, qt.IsTrue)
	for elapsed := time.Duration(20); elapsed < 50; elapsed++ {
		_, due = gate.request(testStart.Add(elapsed * time.Millisecond))
		c.Assert(due, qt.IsFalse)
	}
	gate.sent(testStart.Add(notifyInterval))
	wait, due = gate.request(testStart.Add(2 * notifyInterval))
	c.Assert(wait, qt.Equals, time.Duration(0))
	c.Assert(due, qt.IsTrue)
}

// TestFewProxiesOfOtherRegionsLearnAtOnce guards against messages between regions that grow with the fleet.
func TestFewProxiesOfOtherRegionsLearnAtOnce(t *testing.T) {
	c := qt.New(t)
	settings := spool.FleetSettings{
		VM: "vm000", Domain: "d0", Region: "r0", MemoryBytes: 1 << 30,
		Regions: map[spool.Domain]string{"d0": "r0", "d1": "r0", "d2": "r1", "d3": "r1", "d4": "r2"},
	}
	proxy := New(settings, platform.New(settings, nil), clock.Real{}, zap.NewNop())
	for i := 1; i < 300; i++ {
		domain := spool.Domain(fmt.Sprintf("d%d", i%5))
		proxy.members.addMembers(spool.Member{VM: spool.VM(fmt.Sprintf("vm%03d", i)), Domain: domain, Address: "127.0.0.1:1"})
	}
	regions := map[string]int{}
	for _, vm := range proxy.members.remoteRelays(proxy.timers.Now()) {
		domain, _ := proxy.members.locate(vm)
		regions[settings.Regions[domain]]++
	}
	c.Assert(regions, qt.DeepEquals, map[string]int{"r1": maxRemoteAnnounced, "r2": maxRemoteAnnounced})
}
