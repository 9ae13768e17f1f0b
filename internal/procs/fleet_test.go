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
	done    chan struct{} // closed after the exit
}

// fleet is a platform, a group of three servers and three proxies in three failure domains.
type fleet struct {
	*qt.C
	dir       string
	plan      demo.Plan
	manifest  spool.Manifest
	processes map[string]*process
}

// newFleet starts platform, servers and proxies and waits until each proxy serves; change edits the plan before the start.
func newFleet(t *testing.T, change func(fleet *fleet)) *fleet {
	fleet := &fleet{C: qt.New(t), dir: t.TempDir(), processes: map[string]*process{}}
	fleet.Assert(demo.Prepare(fleet.dir), qt.IsNil)
	var err error
	fleet.plan, err = demo.LoadPlan(fleet.dir)
	fleet.Assert(err, qt.IsNil)
	fleet.manifest, err = fleet.plan.Manifest()
	fleet.Assert(err, qt.IsNil)
	if change != nil {
		change(fleet)
	}
	fleet.Cleanup(fleet.killAll)
	fleet.start("platform", "objsrv", "--address", fleet.plan.Platform, "--members", fleet.path("members.json"))
	fleet.startServers()
	fleet.await("the platform listens", func() bool { return isListening(fleet.plan.Platform) })
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

// start starts a program; its output goes to the log file name.log.
func (fleet *fleet) start(name, program string, arguments ...string) {
	command := exec.Command(filepath.Join(programDir, program), arguments...)
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

// killAll kills all processes and, after a failure, logs the last 3000 bytes of their logs.
func (fleet *fleet) killAll() {
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

// signal sends a signal to a process, which must be running.
func (fleet *fleet) signal(name string, signal syscall.Signal) {
	fleet.Assert(fleet.processes[name].command.Process.Signal(signal), qt.IsNil, qt.Commentf("%s", name))
}

// kill sends SIGKILL to a process and waits for its exit.
func (fleet *fleet) kill(name string) {
	fleet.signal(name, syscall.SIGKILL)
	<-fleet.processes[name].done
}

// stop sends SIGTERM to a process, checks that it exits with code 0 and returns how long that took.
func (fleet *fleet) stop(name string) time.Duration {
	start := time.Now()
	fleet.signal(name, syscall.SIGTERM)
	fleet.await(name+" ends", func() bool { return fleet.processes[name].ended() })
	fleet.Check(fleet.processes[name].command.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s", name))
	return time.Since(start)
}

func (process *process) ended() bool {
	select {
	case <-process.done:
		return true
	default:
		return false
	}
}

// await waits until the condition holds and fails the test after 30 s.
func (fleet *fleet) await(what string, condition func() bool) {
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		fleet.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("timed out waiting until %s", what))
		time.Sleep(waitStep)
	}
}

func isListening(address string) bool {
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
		fleet.await(proxy.Name+" serves", func() bool { return fleet.execute(target, "APPEND ready x") == nil })
	}
}

// execute runs one statement on a new connection.
func (fleet *fleet) execute(target demo.Target, statement string) error {
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

// routeError returns the error of a read on a route through a proxy, or nil.
func (fleet *fleet) routeError(proxy demo.Process, route string) error {
	return fleet.execute(demo.Target{Address: proxy.Address, Route: route, Key: fleet.plan.Keys[0]}, "GET ready")
}

// push runs the push command on a manifest and returns its exit code.
func (fleet *fleet) push(manifest spool.Manifest, arguments ...string) int {
	file, err := os.CreateTemp(fleet.dir, "manifest*.json")
	fleet.Assert(err, qt.IsNil)
	fleet.Assert(json.NewEncoder(file).Encode(manifest), qt.IsNil)
	fleet.Assert(file.Close(), qt.IsNil)
	arguments = append([]string{
		"push", file.Name(), "--platform", "http://" + fleet.plan.Platform, "--actor", "operator",
	}, arguments...)
	command := exec.Command(filepath.Join(programDir, "corianderspool"), arguments...)
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

// setControl changes the injected faults and delays of a server.
func (fleet *fleet) setControl(server demo.Process, change regsrv.FaultUpdate) {
	body, err := json.Marshal(change)
	fleet.Assert(err, qt.IsNil)
	response, err := http.Post("http://"+server.Control+"/control", "application/json", bytes.NewReader(body))
	fleet.Assert(err, qt.IsNil)
	fleet.Assert(response.Body.Close(), qt.IsNil)
	fleet.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// primary returns the running server that is primary in the highest term, with its state.
func (fleet *fleet) primary() (demo.Process, demo.ServerState) {
	server, state, err := demo.FindPrimary(fleet.running(fleet.plan.Servers))
	fleet.Assert(err, qt.IsNil)
	return server, state
}

// running returns the processes that have not exited.
func (fleet *fleet) running(processes []demo.Process) []demo.Process {
	alive := []demo.Process{}
	for _, process := range processes {
		if !fleet.processes[process.Name].ended() {
			alive = append(alive, process)
		}
	}
	return alive
}

// logLine is a log event of a proxy.
type logLine struct {
	Event   event.Number
	Time    time.Time
	Group   string
	Partner string
	Version spool.Version
}

// events returns the log events of a proxy since its latest start.
func (fleet *fleet) events(proxy demo.Process) []logLine {
	content, err := os.ReadFile(fleet.processes[proxy.Name].log)
	fleet.Assert(err, qt.IsNil)
	lines := []logLine{}
	for text := range bytes.Lines(content) {
		logLine := logLine{}
		if json.Unmarshal(text, &logLine) == nil {
			lines = append(lines, logLine)
		}
	}
	return lines
}

// leader returns the running proxy that acquired the group's lease last, and when.
func (fleet *fleet) leader() (demo.Process, time.Time) {
	leader, latest := demo.Process{}, time.Time{}
	for _, proxy := range fleet.running(fleet.plan.Proxies) {
		for _, logLine := range fleet.events(proxy) {
			if logLine.Event == event.GroupLeaseAcquired && logLine.Time.After(latest) {
				leader, latest = proxy, logLine.Time
			}
		}
	}
	fleet.Assert(leader.Name, qt.Not(qt.Equals), "")
	return leader, latest
}

// others returns all proxies except one.
func (fleet *fleet) others(proxy demo.Process) []demo.Process {
	others := []demo.Process{}
	for _, other := range fleet.plan.Proxies {
		if other.Name != proxy.Name {
			others = append(others, other)
		}
	}
	return others
}
