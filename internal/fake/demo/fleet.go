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
	pidFile       = "pids" // lines of a process's name and its id
	statusTimeout = time.Second
)

// fleet is the running processes.
type fleet struct {
	plan  Plan
	pids  map[string]int
	ended map[string]bool
}

func newFleet(dir string, plan Plan) (*fleet, error) {
	content, err := os.ReadFile(filepath.Join(dir, pidFile))
	if err != nil {
		return nil, eris.Wrap(err, "reading the process ids")
	}
	fleet := &fleet{plan: plan, pids: map[string]int{}, ended: map[string]bool{}}
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		var name string
		var pid int
		if _, err := fmt.Sscanf(line, "%s %d", &name, &pid); err != nil {
			return nil, eris.Wrapf(err, "process ids: line %q", line)
		}
		fleet.pids[name] = pid
	}
	return fleet, nil
}

// kill ends a process by its id with SIGKILL.
func (fleet *fleet) kill(process Process) error {
	pid, known := fleet.pids[process.Name]
	if !known {
		return eris.Errorf("process %s has no known id", process.Name)
	}
	fleet.ended[process.Name] = true
	return eris.Wrapf(syscall.Kill(pid, syscall.SIGKILL), "killing %s", process.Name)
}

// living returns those of the processes that were not killed.
func (fleet *fleet) living(processes []Process) []Process {
	living := []Process{}
	for _, process := range processes {
		if !fleet.ended[process.Name] {
			living = append(living, process)
		}
	}
	return living
}

// ServerState is what a server says of its role on its control port.
type ServerState struct {
	Term     spool.Term
	Position spool.Position
	Primary  bool
	Start    spool.Position
}

// primary returns the living server that is primary of the highest term.
func (fleet *fleet) primary() (Process, ServerState, error) {
	return Primary(fleet.living(fleet.plan.Servers))
}

// Primary returns the server that answers as primary of the highest term; it fails if there is none.
func Primary(servers []Process) (Process, ServerState, error) {
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

// reads adds up the reads that the living servers ran in either role.
func (fleet *fleet) reads() (primary, replica int) {
	for _, server := range fleet.living(fleet.plan.Servers) {
		seen, err := Fetch[regsrv.Seen](server, "/seen")
		if err != nil {
			continue
		}
		primary += seen.PrimaryReads
		replica += seen.ReplicaReads
	}
	return primary, replica
}

// Fetch gets and decodes what a server's control port shows.
func Fetch[T any](server Process, path string) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Control+path, nil)
	if err != nil {
		return result, eris.Wrapf(err, "asking %s", server.Name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result, eris.Wrapf(err, "asking %s", server.Name)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, eris.Wrapf(err, "asking %s", server.Name)
	}
	return result, nil
}
