package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/fake/ports"
	"corianderspool.example/spool/pkg/spool"
)

const (
	groupName   = "g1"
	configApply = 4 * time.Second
	grace       = 4 * time.Second
	teamRate    = 60
)

// vm is a proxy as a process of its own.
type vm struct {
	name     string
	callers  string
	peers    string
	settings string
	store    *relay

	mutex   sync.Mutex
	process *exec.Cmd
	paused  bool
	calm    time.Time // since when nothing but SIGTERM was done to it
}

// world is a fleet before its servers and store.
type world struct {
	*testing.T
	binary  string
	dir     string
	store   *kvsrv.Server
	group   *linesrv.Group
	servers map[spool.Server]*relay
	vms     []*vm

	mutex   sync.Mutex
	version int
	keys    map[string][]string // of each team
}

func newWorld(t *testing.T, binary string, proxies int) *world {
	group, err := linesrv.NewGroup(groupName, "a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	world := &world{
		T: t, binary: binary, dir: t.TempDir(), group: group, servers: map[spool.Server]*relay{},
		keys: map[string][]string{"red": {"key-red"}, "blue": {"key-blue"}, "brown": {"key-brown"}},
	}
	for _, server := range group.Servers() {
		server.Work = 12 * time.Millisecond // so that reads spread over the replicas
		world.servers[server.ID] = world.relay(server.Address)
	}
	world.store = kvsrv.New(func(_, server string) bool {
		if group.Server(spool.Server(server)).Down() {
			return false
		}
		go func() {
			time.Sleep(200 * time.Millisecond) // a promotion takes a while
			group.Promote(spool.Server(server))
			world.register()
		}()
		return true
	})
	t.Cleanup(world.store.Close)
	world.register()
	world.configure()
	for i := range proxies {
		world.vms = append(world.vms, world.add(i))
	}
	for _, vm := range world.vms {
		world.startVM(vm)
	}
	t.Cleanup(func() {
		for _, vm := range world.vms {
			vm.signal(syscall.SIGKILL)
		}
	})
	return world
}

func (world *world) relay(target string) *relay {
	relay, err := newRelay(target)
	if err != nil {
		world.Fatal(err)
	}
	world.Cleanup(relay.close)
	return relay
}

// register writes the servers' entries as the servers see themselves.
func (world *world) register() {
	for _, server := range world.group.Servers() {
		role := "replica"
		if server.ID == world.group.Primary() {
			role = "primary"
		}
		world.store.Write("servers", string(server.ID), map[string]any{
			"service": groupName, "address": world.servers[server.ID].address(), "zone": "z1", "slots": server.Slots,
			"state": "ready", "db-role": role, "born": 1,
		})
	}
}

// configure writes the next version of the configuration.
func (world *world) configure() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.version++
	var routes, teams []any
	for database, kind := range map[string]string{
		"primary": "primary", "session": "read_your_writes", "bounded": "bounded_staleness",
	} {
		routes = append(routes, map[string]any{
			"name": database, "database": database, "type": kind, "service": groupName, "timeout-ms": 1000,
			"target-latency-ms": 1000, "priority": 1, "max-staleness-ms": maxAge.Milliseconds(),
		})
	}
	for team, keys := range world.keys {
		teams = append(teams, map[string]any{
			"name": team, "api-keys": keys, "rate-per-s": teamRate, "burst": teamRate,
		})
	}
	world.store.Write("config", "main", map[string]any{
		"version": world.version, "routes": routes, "tenants": teams, "limits": map[string]any{"tx-idle-ms": 2000},
		"services": []any{map[string]any{"name": groupName, "max-conns": 20, "sync-replicas": 1}},
	})
}

func (world *world) add(index int) *vm {
	chosen, err := ports.Choose(4)
	if err != nil {
		world.Fatal(err)
	}
	vm := &vm{
		name: fmt.Sprintf("vm%d", index), callers: chosen[0], peers: chosen[2],
		settings: filepath.Join(world.dir, fmt.Sprintf("vm%d.json", index)), store: world.relay(world.store.Address()),
	}
	host, port, _ := net.SplitHostPort(chosen[3])
	var seeds []string
	for _, other := range world.vms {
		seeds = append(seeds, other.peers)
	}
	text, err := json.Marshal(map[string]any{
		"node-name": vm.name, "ip": host, "zone": fmt.Sprintf("z%d", index%3+1), "region": "r1",
		"zones":        map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		"listen-addrs": map[string]string{"front": vm.callers, "ready": chosen[1], "control": vm.peers},
		"port-range":   []json.Number{json.Number(port), json.Number(port)},
		"limits":       map[string]any{"memory-mb": 200, "max-fds": 2000},
		"bounds": map[string]any{
			"config-apply-ms": configApply.Milliseconds(), "drain-timeout-ms": 7000, "grace-s": grace.Seconds(),
			"catch-up-s": 4,
		},
		"seeds":     seeds,
		"platform":  map[string]string{"address": vm.store.address()},
		"cloud-api": map[string]string{"address": vm.store.address()},
	})
	if err != nil {
		world.Fatal(err)
	}
	if err := os.WriteFile(vm.settings, text, 0o600); err != nil {
		world.Fatal(err)
	}
	return vm
}

// startVM starts a proxy's process; its log is appended to one file for each VM.
func (world *world) startVM(vm *vm) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(world.dir, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		world.Fatal(err)
	}
	process := exec.Command(world.binary, "fleet")
	process.Env = []string{"CORIANDERSPOOL_SETTINGS=" + vm.settings}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		world.Fatal(err)
	}
	vm.process, vm.paused, vm.calm = process, false, time.Now()
	_ = log.Close() // the process has its own descriptor
}

// signal sends a signal to the proxy's process and waits for its end where it ends it.
func (vm *vm) signal(signal syscall.Signal) {
	vm.mutex.Lock()
	process := vm.process
	if process == nil {
		vm.mutex.Unlock()
		return
	}
	if signal != syscall.SIGTERM {
		vm.calm = time.Now()
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		vm.process = nil
	}
	vm.mutex.Unlock()
	_ = process.Process.Signal(signal) // a process that has ended needs none
	switch signal {
	case syscall.SIGKILL:
		_ = process.Wait() // killed on purpose
	case syscall.SIGTERM:
		timer := time.AfterFunc(grace, func() { _ = process.Process.Kill() })
		_ = process.Wait() // ended on purpose
		timer.Stop()
	}
}

// calmFor tells for how long nothing but SIGTERM was done to the proxy.
func (vm *vm) calmFor() time.Duration {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return time.Since(vm.calm)
}
