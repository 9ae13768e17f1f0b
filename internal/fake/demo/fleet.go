package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

const (
	pidFile       = "pids" // each line holds a process's name and id
	statusTimeout = time.Second
)

// fleet is the set of started processes.
type fleet struct {
	plan       Plan
	processIDs map[string]int
	killed     map[string]bool
}

func newFleet(dir string, plan Plan) (*fleet, error) {
	content, err := os.ReadFile(filepath.Join(dir, pidFile))
	if err != nil {
		return nil, eris.Wrap(err, "reading the process ids")
	}
	fleet := &fleet{plan: plan, processIDs: map[string]int{}, killed: map[string]bool{}}
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		var name string
		var pid int
		if _, err := fmt.Sscanf(line, "%s %d", &name, &pid); err != nil {
			return nil, eris.Wrapf(err, "parsing line %q of the process ids", line)
		}
		fleet.processIDs[name] = pid
	}
	return fleet, nil
}

// kill sends SIGKILL to a process.
func (fleet *fleet) kill(process Process) error {
	pid, known := fleet.processIDs[process.Name]
	if !known {
		return eris.Errorf("process %s has no known id", process.Name)
	}
	fleet.killed[process.Name] = true
	return eris.Wrapf(syscall.Kill(pid, syscall.SIGKILL), "killing %s", process.Name)
}

// running returns those of the processes that were not killed.
func (fleet *fleet) running(processes []Process) []Process {
	runningProcesses := []Process{}
	for _, process := range processes {
		if !fleet.killed[process.Name] {
			runningProcesses = append(runningProcesses, process)
		}
	}
	return runningProcesses
}

// ServerState is the role and log position that a server returns for GET /status.
type ServerState struct {
	Term     spool.Term
	Position spool.Position
	Primary  bool
	Start    spool.Position
}

// primary returns the running server that is primary of the highest term.
func (fleet *fleet) primary() (Process, ServerState, error) {
	return FindPrimary(fleet.running(fleet.plan.Servers))
}

// FindPrimary returns the server that is primary of the highest term according to the servers' status; it fails if
// there is none.
func FindPrimary(servers []Process) (Process, ServerState, error) {
	found := Process{}
	highest := ServerState{}
	for _, server := range servers {
		state, err := Fetch[ServerState](server, "/status")
		if err != nil {
			continue
		}
		if state.Primary && state.Term >= highest.Term {
			found, highest = server, state
		}
	}
	if found.Name == "" {
		return found, highest, eris.New("no server is primary")
	}
	return found, highest, nil
}

// countReads returns the number of reads that the running servers executed as primary and as replica.
func (fleet *fleet) countReads() (primary, replica int) {
	for _, server := range fleet.running(fleet.plan.Servers) {
		activity, err := Fetch[regsrv.Activity](server, "/seen")
		if err != nil {
			continue
		}
		primary += activity.PrimaryReads
		replica += activity.ReplicaReads
	}
	return primary, replica
}

// Fetch gets a path of a server's control port and decodes the JSON body; it fails after statusTimeout.
func Fetch[T any](server Process, path string) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Control+path, nil)
	if err != nil {
		return result, eris.Wrapf(err, "fetching from the control port of %s", server.Name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result, eris.Wrapf(err, "fetching from the control port of %s", server.Name)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, eris.Wrapf(err, "fetching from the control port of %s", server.Name)
	}
	return result, nil
}
