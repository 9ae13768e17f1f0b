package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/kvsrv"
)

// fault is a way to break the world for a while.
type fault struct {
	name  string
	begin func(world *world, random *rand.Rand, duration time.Duration) (end func())
}

func nothing() {}

// faults are drawn at random; each ends by itself.
var faults = []fault{
	{"vm killed", func(world *world, random *rand.Rand, _ time.Duration) func() {
		vm := pick(world, random)
		vm.signal(syscall.SIGKILL)
		return func() { world.startVM(vm) }
	}},
	{"vm terminated", func(world *world, random *rand.Rand, _ time.Duration) func() {
		vm := pick(world, random)
		vm.signal(syscall.SIGTERM)
		return func() { world.startVM(vm) }
	}},
	{"vm paused", func(world *world, random *rand.Rand, _ time.Duration) func() {
		vm := pick(world, random)
		vm.signal(syscall.SIGSTOP)
		return func() { vm.signal(syscall.SIGCONT) }
	}},
	{"settings reloaded", func(world *world, random *rand.Rand, _ time.Duration) func() {
		vm := pick(world, random)
		vm.mutex.Lock()
		process := vm.process
		vm.mutex.Unlock()
		if process != nil {
			_ = process.Process.Signal(syscall.SIGHUP)
		}
		return nothing
	}},
	{"way to the store broken", func(world *world, random *rand.Rand, _ time.Duration) func() {
		relay := pick(world, random).store
		relay.set(relayMode(1 + random.IntN(modes-1)))
		return func() { relay.set(modePass) }
	}},
	{"way to a server broken", func(world *world, random *rand.Rand, _ time.Duration) func() {
		servers := world.group.Servers()
		relay := world.servers[servers[random.IntN(len(servers))].ID]
		relay.set(relayMode(1 + random.IntN(modes-1)))
		return func() { relay.set(modePass) }
	}},
	{"primary killed", func(world *world, _ *rand.Rand, _ time.Duration) func() {
		server := world.group.Server(world.group.Primary())
		if server.Down() {
			return nothing // another player has killed it
		}
		server.Kill()
		return func() {
			if err := server.Start(); err != nil {
				world.Error(err)
			}
		}
	}},
	{"server lags", func(world *world, random *rand.Rand, _ time.Duration) func() {
		servers := world.group.Servers()
		server := servers[random.IntN(len(servers))]
		server.SetLagging(true)
		return func() { server.SetLagging(false) }
	}},
	{"answers of servers lost", func(world *world, random *rand.Rand, _ time.Duration) func() {
		servers := world.group.Servers()
		servers[random.IntN(len(servers))].LoseAnswers(1 + random.IntN(4))
		return nothing
	}},
	{"store broken", func(world *world, random *rand.Rand, _ time.Duration) func() {
		world.store.SetFaults([]kvsrv.Faults{
			{Status: http.StatusServiceUnavailable},
			{Status: http.StatusTooManyRequests},
			{Reset: true},
			{Latency: 240 * time.Millisecond},
			{LoseWrites: 3},
			{Deaf: true},
		}[random.IntN(6)])
		return func() {
			world.store.Compact()
			world.store.SetFaults(kvsrv.Faults{})
		}
	}},
	{"configuration changed", func(world *world, _ *rand.Rand, _ time.Duration) func() {
		world.configure()
		return nothing
	}},
}

func pick(world *world, random *rand.Rand) *vm { return world.vms[random.IntN(len(world.vms))] }

// play brings about faults until the context ends, one after the other; several players overlap.
func play(ctx context.Context, world *world, random *rand.Rand) {
	for ctx.Err() == nil {
		duration := time.Duration(100+random.IntN(2400)) * time.Millisecond
		fault := faults[random.IntN(len(faults))]
		world.Logf("%s %s for %v", time.Now().Format("15:04:05.000"), fault.name, duration)
		end := fault.begin(world, random, duration)
		sleep(ctx, duration)
		end()
		sleep(ctx, time.Duration(random.IntN(800))*time.Millisecond)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
