package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/kvsrv"
)

// fault is a fault with a name for the log; begin injects it and returns the function that removes it.
type fault struct {
	name  string
	begin func(cluster *cluster, random *rand.Rand, duration time.Duration) (end func())
}

// noRecovery is the end of a fault that needs no removal.
func noRecovery() {}

// faults are the faults that injectFaults picks from.
var faults = []fault{
	{"vm killed", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		vm := randomVM(cluster, random)
		vm.signal(syscall.SIGKILL)
		return func() { cluster.startVM(vm) }
	}},
	{"vm terminated", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		vm := randomVM(cluster, random)
		vm.signal(syscall.SIGTERM)
		return func() { cluster.startVM(vm) }
	}},
	{"vm paused", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		vm := randomVM(cluster, random)
		vm.signal(syscall.SIGSTOP)
		return func() { vm.signal(syscall.SIGCONT) }
	}},
	{"settings reloaded", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		vm := randomVM(cluster, random)
		vm.mutex.Lock()
		process := vm.process
		vm.mutex.Unlock()
		if process != nil {
			_ = process.Process.Signal(syscall.SIGHUP)
		}
		return noRecovery
	}},
	{"path to the store broken", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		forwarder := randomVM(cluster, random).storeForwarder
		forwarder.setMode(forwardMode(1 + random.IntN(modeCount-1)))
		return func() { forwarder.setMode(modePass) }
	}},
	{"path to a server broken", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		servers := cluster.group.Servers()
		forwarder := cluster.serverForwarders[servers[random.IntN(len(servers))].ID]
		forwarder.setMode(forwardMode(1 + random.IntN(modeCount-1)))
		return func() { forwarder.setMode(modePass) }
	}},
	{"primary killed", func(cluster *cluster, _ *rand.Rand, _ time.Duration) func() {
		server := cluster.group.Server(cluster.group.Primary())
		if server.Down() {
			return noRecovery // killed by another injector
		}
		server.Kill()
		return func() {
			if err := server.Start(); err != nil {
				cluster.Error(err)
			}
		}
	}},
	{"server lags", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		servers := cluster.group.Servers()
		server := servers[random.IntN(len(servers))]
		server.SetLagging(true)
		return func() { server.SetLagging(false) }
	}},
	{"answers of servers lost", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		servers := cluster.group.Servers()
		servers[random.IntN(len(servers))].LoseAnswers(1 + random.IntN(4))
		return noRecovery
	}},
	{"store broken", func(cluster *cluster, random *rand.Rand, _ time.Duration) func() {
		cluster.store.SetFaults([]kvsrv.Faults{
			{Status: http.StatusServiceUnavailable},
			{Status: http.StatusTooManyRequests},
			{Reset: true},
			{Latency: 240 * time.Millisecond},
			{LoseWriteAnswers: 3},
			{DropEvents: true},
		}[random.IntN(6)])
		return func() {
			cluster.store.Compact()
			cluster.store.SetFaults(kvsrv.Faults{})
		}
	}},
	{"configuration changed", func(cluster *cluster, _ *rand.Rand, _ time.Duration) func() {
		cluster.publishConfig()
		return noRecovery
	}},
	{"store falls back", fallBack},
}

func randomVM(cluster *cluster, random *rand.Rand) *vm {
	return cluster.vms[random.IntN(len(cluster.vms))]
}

// injectFaults injects one random fault after the other until the context is done; several injectors overlap.
func injectFaults(ctx context.Context, cluster *cluster, random *rand.Rand) {
	for ctx.Err() == nil {
		duration := time.Duration(100+random.IntN(2400)) * time.Millisecond
		fault := faults[random.IntN(len(faults))]
		cluster.Logf("%s %s for %v", time.Now().Format("15:04:05.000"), fault.name, duration)
		end := fault.begin(cluster, random, duration)
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
