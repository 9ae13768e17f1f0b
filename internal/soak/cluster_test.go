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
	groupName        = "g1"
	configApplyLimit = 4 * time.Second
	gracePeriod      = 4 * time.Second
	teamRate         = 60
)

// vm is a proxy process.
type vm struct {
	name           string
	callerAddress  string
	peerAddress    string
	settingsPath   string
	storeForwarder *forwarder

	mutex            sync.Mutex
	process          *exec.Cmd // that no fault has stopped; nil if there is none
	stopping         bool      // a process that was stopped still runs
	paused           bool
	undisturbedSince time.Time // time of the start or the latest signal other than SIGTERM and SIGHUP
}

// cluster is a fleet of proxies with its group of servers and its store.
type cluster struct {
	*testing.T
	binary           string
	dir              string
	store            *kvsrv.Server
	group            *linesrv.Group
	serverForwarders map[spool.Server]*forwarder
	vms              []*vm

	mutex         sync.Mutex
	configVersion int
	keysByTeam    map[string][]string // API keys by team
}

func newCluster(t *testing.T, binary string, proxies int) *cluster {
	group, err := linesrv.NewGroup(groupName, "a", "b", "c")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	cluster := &cluster{
		T: t, binary: binary, dir: t.TempDir(), group: group, serverForwarders: map[spool.Server]*forwarder{},
		keysByTeam: map[string][]string{"red": {"key-red"}, "blue": {"key-blue"}, "brown": {"key-brown"}},
	}
	for _, server := range group.Servers() {
		server.WorkTime = 12 * time.Millisecond // long enough that reads spread over the replicas
		cluster.serverForwarders[server.ID] = cluster.newForwarder(server.Address)
	}
	cluster.store = kvsrv.New(func(_, server string) bool {
		if group.Server(spool.Server(server)).Down() {
			return false
		}
		go func() {
			time.Sleep(200 * time.Millisecond) // duration of a promotion
			group.Promote(spool.Server(server))
			cluster.registerServers()
		}()
		return true
	})
	t.Cleanup(cluster.store.Close)
	cluster.registerServers()
	cluster.publishConfig()
	for i := range proxies {
		cluster.vms = append(cluster.vms, cluster.addVM(i))
	}
	for _, vm := range cluster.vms {
		cluster.startVM(vm)
	}
	t.Cleanup(func() {
		for _, vm := range cluster.vms {
			vm.signal(syscall.SIGKILL)
		}
	})
	return cluster
}

func (cluster *cluster) newForwarder(target string) *forwarder {
	forwarder, err := newForwarder(target)
	if err != nil {
		cluster.Fatal(err)
	}
	cluster.Cleanup(forwarder.close)
	return forwarder
}

// registerServers writes the servers' registrations to the store with their present roles.
func (cluster *cluster) registerServers() {
	for _, server := range cluster.group.Servers() {
		role := "replica"
		if server.ID == cluster.group.Primary() {
			role = "primary"
		}
		cluster.store.Write("servers", string(server.ID), map[string]any{
			"service": groupName, "address": cluster.serverForwarders[server.ID].address(), "zone": "z1", "slots": server.Slots,
			"state": "ready", "db-role": role, "born": 1,
		})
	}
}

// publishConfig writes the next version of the configuration to the store.
func (cluster *cluster) publishConfig() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.configVersion++
	var routes, teams []any
	for database, kind := range map[string]string{
		"primary": "primary", "session": "read_your_writes", "bounded": "bounded_staleness",
	} {
		routes = append(routes, map[string]any{
			"name": database, "database": database, "type": kind, "service": groupName, "timeout-ms": 1000,
			"target-latency-ms": 1000, "priority": 1, "max-staleness-ms": maxStaleness.Milliseconds(),
		})
	}
	for team, keys := range cluster.keysByTeam {
		teams = append(teams, map[string]any{
			"name": team, "api-keys": keys, "rate-per-s": teamRate, "burst": teamRate,
		})
	}
	cluster.store.Write("config", "main", map[string]any{
		"version": cluster.configVersion, "routes": routes, "tenants": teams, "limits": map[string]any{"tx-idle-ms": 2000},
		"services": []any{map[string]any{"name": groupName, "max-conns": 20, "sync-replicas": 1}},
	})
}

func (cluster *cluster) addVM(index int) *vm {
	addresses, err := ports.FreeAddresses(4)
	if err != nil {
		cluster.Fatal(err)
	}
	vm := &vm{
		name: fmt.Sprintf("vm%d", index), callerAddress: addresses[0], peerAddress: addresses[2],
		settingsPath: filepath.Join(cluster.dir, fmt.Sprintf("vm%d.json", index)), storeForwarder: cluster.newForwarder(cluster.store.Address()),
	}
	host, port, _ := net.SplitHostPort(addresses[3])
	var seeds []string
	for _, other := range cluster.vms {
		seeds = append(seeds, other.peerAddress)
	}
	text, err := json.Marshal(map[string]any{
		"node-name": vm.name, "ip": host, "zone": fmt.Sprintf("z%d", index%3+1), "region": "r1",
		"zones":        map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		"listen-addrs": map[string]string{"front": vm.callerAddress, "ready": addresses[1], "control": vm.peerAddress},
		"port-range":   []json.Number{json.Number(port), json.Number(port)},
		"limits":       map[string]any{"memory-mb": 200, "max-fds": 2000},
		"bounds": map[string]any{
			"config-apply-ms": configApplyLimit.Milliseconds(), "drain-timeout-ms": 7000, "grace-s": gracePeriod.Seconds(),
			"catch-up-s": 4,
		},
		"seeds":     seeds,
		"platform":  map[string]string{"address": vm.storeForwarder.address()},
		"cloud-api": map[string]string{"address": vm.storeForwarder.address()},
	})
	if err != nil {
		cluster.Fatal(err)
	}
	if err := os.WriteFile(vm.settingsPath, text, 0o600); err != nil {
		cluster.Fatal(err)
	}
	return vm
}

// startVM starts a proxy's process, which appends to the log file of the VM. It does nothing if one runs, or still stops: two faults may
// stop the same proxy, and both start it again.
func (cluster *cluster) startVM(vm *vm) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process != nil || vm.stopping {
		return
	}
	log, err := os.OpenFile(filepath.Join(cluster.dir, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cluster.Fatal(err)
	}
	process := exec.Command(cluster.binary, "fleet")
	process.Env = []string{"CORIANDERSPOOL_SETTINGS=" + vm.settingsPath}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		cluster.Fatal(err)
	}
	vm.process, vm.paused, vm.undisturbedSince = process, false, time.Now()
	_ = log.Close() // the process has its own file descriptor
}

// signal sends a signal to the proxy's process. After SIGKILL or SIGTERM it waits for the exit, and kills the process
// gracePeriod after SIGTERM.
func (vm *vm) signal(signal syscall.Signal) {
	vm.mutex.Lock()
	process := vm.process
	if process == nil {
		vm.mutex.Unlock()
		return
	}
	if signal != syscall.SIGTERM {
		vm.undisturbedSince = time.Now()
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		vm.process, vm.stopping = nil, true
		defer vm.recordStopped()
	}
	vm.mutex.Unlock()
	_ = process.Process.Signal(signal) // fails only if the process has exited
	switch signal {
	case syscall.SIGKILL:
		_ = process.Wait() // the exit status is that of the kill
	case syscall.SIGTERM:
		timer := time.AfterFunc(gracePeriod, func() { _ = process.Process.Kill() })
		_ = process.Wait() // the exit status does not matter
		timer.Stop()
	}
}

func (vm *vm) recordStopped() {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.stopping = false
}

// undisturbedFor returns the time since the proxy's start or its latest signal other than SIGTERM and SIGHUP.
func (vm *vm) undisturbedFor() time.Duration {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return time.Since(vm.undisturbedSince)
}
