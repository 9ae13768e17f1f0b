package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

const (
	waitLimit      = 30 * time.Second
	waitStep       = 20 * time.Millisecond
	connectTimeout = 3 * time.Second
	failoverTarget = 2 * time.Second
	configTarget   = 4 * time.Second
	exitConflict   = 3
)

// process is one running program.
type process struct {
	name    string
	command *exec.Cmd
	log     string
	done    chan struct{} // closed when it has ended
}

// fleet is a platform, a group of three servers and three proxies in three failure domains.
type fleet struct {
	*qt.C
	dir       string
	plan      demo.Plan
	manifest  spool.Manifest
	processes map[string]*process
}

// newFleet starts everything and waits until each proxy serves.
func newFleet(t *testing.T, change func(fleet *fleet)) *fleet {
	fleet := &fleet{C: qt.New(t), dir: t.TempDir(), processes: map[string]*process{}}
	fleet.Assert(demo.Prepare(fleet.dir), qt.IsNil)
	var err error
	fleet.plan, err = demo.Load(fleet.dir)
	fleet.Assert(err, qt.IsNil)
	fleet.manifest, err = fleet.plan.Manifest()
	fleet.Assert(err, qt.IsNil)
	if change != nil {
		change(fleet)
	}
	fleet.Cleanup(fleet.end)
	fleet.start("platform", "objsrv", "--address", fleet.plan.Platform, "--members", fleet.path("members.json"))
	fleet.startServers()
	fleet.await("the platform listens", func() bool { return listens(fleet.plan.Platform) })
	fleet.Assert(fleet.push(fleet.manifest), qt.Equals, 0)
	for _, proxy := range fleet.plan.Proxies {
		fleet.startProxy(proxy)
	}
	fleet.awaitServing(fleet.plan.Proxies...)
	return fleet
}

func (fleet *fleet) path(name string) string { return filepath.Join(fleet.dir, name) }

func (fleet *fleet) startServers() {
	for i, server := range fleet.plan.Servers {
		role := []string{"--primary", fleet.plan.Servers[0].Address}
		if i == 0 {
			role = []string{"--term", "1"}
		}
		fleet.start(server.Name, "regsrv", append([]string{
			"--address", server.Address, "--control", server.Control, "--user", fleet.plan.BackendUser,
			"--password-file", fleet.path("password"), "--connect-delay", "1ms", "--lag", "20ms",
			"--slots", strconv.Itoa(fleet.manifest.Groups[0].Servers[i].Slots),
			"--connections", strconv.Itoa(fleet.manifest.Groups[0].Servers[i].Connections),
		}, role...)...)
	}
}

func (fleet *fleet) startProxy(proxy demo.Process) {
	fleet.start(proxy.Name, "corianderspool", "serve", "--settings", fleet.path(proxy.Name+".json"))
}

// start runs a program whose output goes to a log file of the process's name.
func (fleet *fleet) start(name, program string, arguments ...string) {
	command := exec.Command(filepath.Join(programs, program), arguments...)
	log := fleet.path(name + ".log")
	output, err := os.Create(log)
	fleet.Assert(err, qt.IsNil)
	command.Stdout, command.Stderr = output, output
	fleet.Assert(spawn(command), qt.IsNil)
	process := &process{name: name, command: command, log: log, done: make(chan struct{})}
	fleet.processes[name] = process
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(process.done)
	}()
}

// end kills every process that still runs and shows their logs after a failure.
func (fleet *fleet) end() {
	for _, process := range fleet.processes {
		_ = process.command.Process.Kill()
		<-process.done
	}
	if !fleet.Failed() {
		return
	}
	for _, process := range fleet.processes {
		content, _ := os.ReadFile(process.log)
		fleet.Logf("log of %s:\n%s", process.name, content[max(0, len(content)-3000):])
	}
}

// signal sends a signal to one process, which must run.
func (fleet *fleet) signal(name string, signal syscall.Signal) {
	fleet.Assert(fleet.processes[name].command.Process.Signal(signal), qt.IsNil, qt.Commentf("%s", name))
}

// kill ends a process at once.
func (fleet *fleet) kill(name string) {
	fleet.signal(name, syscall.SIGKILL)
	<-fleet.processes[name].done
}

// stop ends a process by SIGTERM and returns how long it took.
func (fleet *fleet) stop(name string) time.Duration {
	begun := time.Now()
	fleet.signal(name, syscall.SIGTERM)
	fleet.await(name+" ends", func() bool { return fleet.processes[name].ended() })
	fleet.Check(fleet.processes[name].command.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s", name))
	return time.Since(begun)
}

func (process *process) ended() bool {
	select {
	case <-process.done:
		return true
	default:
		return false
	}
}

// await waits until something is true.
func (fleet *fleet) await(what string, holds func() bool) {
	deadline := time.Now().Add(waitLimit)
	for !holds() {
		fleet.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("waited in vain until %s", what))
		time.Sleep(waitStep)
	}
}

func listens(address string) bool {
	connection, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

func (fleet *fleet) awaitServing(proxies ...demo.Process) {
	for _, proxy := range proxies {
		target := demo.Target{Address: proxy.Address, Key: fleet.plan.Keys[0]}
		fleet.await(proxy.Name+" serves", func() bool { return fleet.try(target, "APPEND ready x") == nil })
	}
}

// try runs one statement over a connection of its own.
func (fleet *fleet) try(target demo.Target, statement string) error {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	connection, err := demo.Connect(ctx, target)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(ctx) }()
	_, err = connection.Exec(ctx, statement)
	return err
}

// routeError returns why a proxy does not serve a route, or nil.
func (fleet *fleet) routeError(proxy demo.Process, route string) error {
	return fleet.try(demo.Target{Address: proxy.Address, Route: route, Key: fleet.plan.Keys[0]}, "GET ready")
}

// push has an operator push a manifest and returns the exit code.
func (fleet *fleet) push(manifest spool.Manifest, arguments ...string) int {
	file, err := os.CreateTemp(fleet.dir, "manifest*.json")
	fleet.Assert(err, qt.IsNil)
	fleet.Assert(json.NewEncoder(file).Encode(manifest), qt.IsNil)
	fleet.Assert(file.Close(), qt.IsNil)
	arguments = append([]string{
		"push", file.Name(), "--platform", "http://" + fleet.plan.Platform, "--actor", "operator",
	}, arguments...)
	command := exec.Command(filepath.Join(programs, "corianderspool"), arguments...)
	output := bytes.Buffer{}
	command.Stdout, command.Stderr = &output, &output
	fleet.Assert(spawn(command), qt.IsNil)
	err = command.Wait()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		fleet.Assert(err, qt.IsNil)
	}
	code := command.ProcessState.ExitCode()
	if code != 0 && code != exitConflict {
		fleet.Logf("push: %s", output.String())
	}
	return code
}

// control changes how a server behaves.
func (fleet *fleet) control(server demo.Process, change regsrv.Control) {
	body, err := json.Marshal(change)
	fleet.Assert(err, qt.IsNil)
	response, err := http.Post("http://"+server.Control+"/control", "application/json", bytes.NewReader(body))
	fleet.Assert(err, qt.IsNil)
	fleet.Assert(response.Body.Close(), qt.IsNil)
	fleet.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// primary returns the server that is primary of the highest term among the running ones.
func (fleet *fleet) primary() (demo.Process, demo.ServerState) {
	server, state, err := demo.Primary(fleet.running(fleet.plan.Servers))
	fleet.Assert(err, qt.IsNil)
	return server, state
}

// running returns those that have not ended.
func (fleet *fleet) running(processes []demo.Process) []demo.Process {
	living := []demo.Process{}
	for _, process := range processes {
		if !fleet.processes[process.Name].ended() {
			living = append(living, process)
		}
	}
	return living
}

// line is a log event of a proxy.
type line struct {
	Event   event.Number
	Time    time.Time
	Group   string
	Partner string
	Version spool.Version
}

// events returns the log events that a proxy wrote since its start.
func (fleet *fleet) events(proxy demo.Process) []line {
	content, err := os.ReadFile(fleet.processes[proxy.Name].log)
	fleet.Assert(err, qt.IsNil)
	lines := []line{}
	for text := range bytes.Lines(content) {
		line := line{}
		if json.Unmarshal(text, &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// leader returns the running proxy that was the last to take the group's lease, and when.
func (fleet *fleet) leader() (demo.Process, time.Time) {
	leader, latest := demo.Process{}, time.Time{}
	for _, proxy := range fleet.running(fleet.plan.Proxies) {
		for _, line := range fleet.events(proxy) {
			if line.Event == event.GroupLeaseAcquired && line.Time.After(latest) {
				leader, latest = proxy, line.Time
			}
		}
	}
	fleet.Assert(leader.Name, qt.Not(qt.Equals), "")
	return leader, latest
}

// others returns all proxies but one.
func (fleet *fleet) others(proxy demo.Process) []demo.Process {
	others := []demo.Process{}
	for _, other := range fleet.plan.Proxies {
		if other.Name != proxy.Name {
			others = append(others, other)
		}
	}
	return others
}
