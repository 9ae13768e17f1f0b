package terms

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
		_ = flag.Set("rapid.checks", "30")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	faultPause = iota
	faultWake
	faultRestart
	faultIsolateVM
	faultIsolateDomain
	faultLoss
	faultPlatform
	faultLoseAnswers
	faultSlowPlatform
	faultKill
	faultRevive
	faultKinds
)

// fault brings about a fault, or ends it.
func (world *world) fault(kind, index int) {
	proxy := world.proxies[index%len(world.proxies)]
	server := world.servers[index%len(world.servers)]
	switch kind {
	case faultPause:
		proxy.paused = true
	case faultWake:
		world.wake(proxy)
	case faultRestart:
		world.restart(proxy)
	case faultIsolateVM:
		world.isolated[string(proxy.vm)] = !world.isolated[string(proxy.vm)]
	case faultIsolateDomain:
		world.isolated[string(server.Domain)] = !world.isolated[string(server.Domain)]
	case faultLoss:
		world.loss = index % 3 * 15
	case faultPlatform:
		world.platform.down = !world.platform.down
	case faultLoseAnswers:
		world.platform.loses = !world.platform.loses
	case faultSlowPlatform:
		world.platform.delay = []time.Duration{2, 100, 900}[index%3] * time.Millisecond
	case faultKill:
		server.dead = true
	case faultRevive:
		server.dead = false
	}
}

// wake delivers what came in during the pause before anything else runs.
func (world *world) wake(proxy *proxy) {
	proxy.paused = false
	inbox := proxy.inbox
	proxy.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// heal ends all faults.
func (world *world) heal() {
	world.loss = 0
	world.isolated = map[string]bool{}
	world.platform.down, world.platform.loses = false, false
	world.platform.delay = 2 * time.Millisecond
	for _, server := range world.servers {
		server.dead = false
	}
	for _, proxy := range world.proxies {
		world.wake(proxy)
	}
}

// TestTerms draws faults and checks that terms are never confused and that writes go on afterwards.
func TestTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), 1500*time.Microsecond)
		world.clock.Advance(3 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(t, "kind")
			world.fault(kind, rapid.IntRange(0, 14).Draw(t, "index"))
			world.clock.Advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps")) * worldTick)
		}
		world.heal()
		world.clock.Advance(8 * time.Second)
		for _, violation := range world.violations {
			t.Fatal(violation)
		}
		world.requireProgress(t)
	})
}

// requireProgress fails unless the newest term takes writes and all servers are in it.
func (world *world) requireProgress(t rapid.TB) {
	if len(world.acks) == 0 || world.clock.Now().Sub(world.acks[len(world.acks)-1].at) > time.Second {
		t.Fatalf("no write was acknowledged in the last second; record %v", world.platform.record)
	}
	for _, server := range world.servers {
		if server.status.Term != world.highest || server.status.Primary != (server.Name == world.opened[world.highest]) {
			t.Fatalf("%s is not in term %d: %+v", server.Name, world.highest, server.status)
		}
	}
}

func TestCalm(t *testing.T) {
	world := newWorld(1, 1500*time.Microsecond)
	world.clock.Advance(5 * time.Second)
	world.requireProgress(t)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.platform.record.Opened, qt.IsTrue)
	qt.Assert(t, world.platform.record.Term, qt.Equals, uint64(1))
	qt.Assert(t, world.platform.writes, qt.Equals, 1)
}
