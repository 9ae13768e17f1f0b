package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/fake/ports"
)

// deployment is a small deployment, with the figures of its site file.
type deployment struct {
	zones       []string // each in a region of its own
	proxies     []int    // by zone
	slots       int
	connections int
	bounds      map[string]any
	routes      []map[string]any
}

// fleet is the platform, its servers and the proxies.
type fleet struct {
	deployment deployment
	dir        string
	store      *kvsrv.Server
	group      *group
	record     *record
	proxies    []*proxy
}

// proxy is one process of the product.
type proxy struct {
	name, zone string
	callers    string
	ready      string
	settings   string
	log        string
	command    *exec.Cmd
	done       chan struct{}
}

func newFleet(deployment deployment, record *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{deployment: deployment, dir: dir, record: record}
	fleet.group = newGroup("ledger", record, func(from, to string) time.Duration {
		if from == to {
			return 100 * time.Microsecond
		}
		return 20 * time.Millisecond
	})
	fleet.store = kvsrv.New(func(_, server string) bool { return fleet.group.order(server) })
	fleet.group.changed = fleet.register
	fleet.writeConfig()
	return fleet, nil
}

// register writes a server's entry.
func (fleet *fleet) register(server *server) {
	fleet.group.mutex.Lock()
	role := "replica"
	if fleet.group.primary == server {
		role = "primary"
	}
	entry := map[string]any{
		"service": fleet.group.name, "address": server.address, "zone": server.zone, "version": "v1", "slots": server.slots,
		"state": server.state, "warmup-left-ms": 0, "seq": 1, "db-role": role, "born": server.born,
	}
	fleet.group.mutex.Unlock()
	fleet.store.Write("servers", server.id, entry)
}

func (fleet *fleet) writeConfig() {
	fleet.store.Write("config", "main", map[string]any{
		"version":  3,
		"services": []any{map[string]any{"name": fleet.group.name, "max-conns": fleet.deployment.connections, "sync-replicas": 1}},
		"routes":   fleet.deployment.routes,
		"limits":   map[string]any{"tx-idle-ms": 5000},
		"tenants": []any{
			map[string]any{"name": "red", "api-keys": []string{"key-red"}, "rate-per-s": 900, "burst": 900},
			map[string]any{"name": "blue", "api-keys": []string{"key-blue"}, "rate-per-s": 900, "burst": 900},
		},
	})
}

// start starts the proxies and waits until each is ready.
func (fleet *fleet) start() error {
	total := 0
	for _, count := range fleet.deployment.proxies {
		total += count
	}
	addresses, err := ports.FreeAddresses(4 * total)
	if err != nil {
		return err
	}
	zones := map[string]string{}
	for _, zone := range fleet.deployment.zones {
		zones[zone] = "region-" + zone
	}
	var seeds []string
	for i := range min(3, total) {
		seeds = append(seeds, addresses[4*i+2])
	}
	for i, zone := range fleet.deployment.zones {
		for range fleet.deployment.proxies[i] {
			number := len(fleet.proxies)
			own := addresses[4*number:]
			_, port, _ := net.SplitHostPort(own[3])
			var metricsPort int
			_, _ = fmt.Sscan(port, &metricsPort)
			added := &proxy{name: fmt.Sprintf("front-%s-%d", zone, number+1), zone: zone, callers: own[0], ready: own[1]}
			settings := map[string]any{
				"node-name": added.name, "role": "proxy", "instance-class": "front", "serves": []string{"front", "control"},
				"ip": "127.0.0.1", "zone": zone, "region": zones[zone], "zones": zones,
				"listen-addrs": map[string]string{"front": own[0], "ready": own[1], "control": own[2]},
				"port-range":   []int{metricsPort, metricsPort}, "seeds": seeds, "bootstrap": true,
				"limits": map[string]any{
					"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4300, "link-mbps": 1000.0, "disk-mb": 0,
				},
				"discovery": "platform", "entry": "virtual_ip", "heartbeat-ms": 1200, "bounds": fleet.deployment.bounds,
				"platform":  map[string]any{"address": fleet.store.Address(), "form": "objects", "history-s": 20},
				"cloud-api": map[string]any{"address": fleet.store.Address(), "duties": []string{"failover"}},
			}
			text, err := json.MarshalIndent(settings, "", "  ")
			if err != nil {
				return err
			}
			added.settings, added.log = filepath.Join(fleet.dir, added.name+".json"), filepath.Join(fleet.dir, added.name+".log")
			if err := os.WriteFile(added.settings, text, 0o600); err != nil {
				return err
			}
			if err := added.start(); err != nil {
				return err
			}
			fleet.proxies = append(fleet.proxies, added)
		}
	}
	for _, proxy := range fleet.proxies {
		if !proxy.awaitReady() {
			return fmt.Errorf("%s is not ready after 20 s", proxy.name)
		}
	}
	return nil
}

// start runs the command of the deploy file.
func (proxy *proxy) start() error {
	output, err := os.OpenFile(proxy.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	proxy.command = exec.Command("target/corianderspool", "fleet")
	proxy.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERSPOOL_SETTINGS=" + proxy.settings}
	proxy.command.Stdout, proxy.command.Stderr = output, output
	proxy.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := proxy.command.Start(); err != nil {
		return err
	}
	proxy.done = make(chan struct{})
	go func() {
		_ = proxy.command.Wait()
		_ = output.Close()
		close(proxy.done)
	}()
	return nil
}

func (proxy *proxy) awaitReady() bool {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if probe(proxy.ready) {
			return true
		}
	}
	return false
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (proxy *proxy) stop(grace time.Duration) {
	_ = proxy.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-proxy.done:
	case <-time.After(grace):
		_ = proxy.command.Process.Kill()
		<-proxy.done
	}
}

// close ends all processes; the directory stays if KEEP is set.
func (fleet *fleet) close() {
	var stopping sync.WaitGroup
	for _, proxy := range fleet.proxies {
		stopping.Go(func() {
			_ = proxy.command.Process.Kill()
			<-proxy.done
		})
	}
	stopping.Wait()
	fleet.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.dir)
	} else {
		fmt.Println("logs in", fleet.dir)
	}
}
