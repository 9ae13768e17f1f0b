package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxStatusBytes = 64 << 20
	statusExamples = `  corianderspool status --operator 10.0.0.1:6434
  corianderspool status --operator 10.0.0.1:6434 --json`
)

func (program *Program) status() *command {
	command := newCommand("status", "show the fleet as one proxy sees it", statusExamples)
	address := ""
	asJSON := false
	command.String(&address, "o", "operator", "operator address of a proxy")
	command.Bool(&asJSON, "j", "json", "print the status as JSON")
	command.run = func(ctx context.Context) Code { return program.runStatus(ctx, address, asJSON) }
	return command
}

func (program *Program) runStatus(ctx context.Context, address string, asJSON bool) Code {
	if _, err := strict.ParseAddress(address); err != nil {
		return program.fail(Invalid, eris.Wrap(err, "--operator"))
	}
	status, err := program.fetchStatus(ctx, address)
	if err != nil {
		return program.fail(Failure, err)
	}
	if asJSON {
		program.printJSON(status)
		return Success
	}
	return program.printStatus(status)
}

func (program *Program) fetchStatus(ctx context.Context, address string) (spool.Status, error) {
	var status spool.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return status, eris.Wrap(err, "build the request")
	}
	response, err := program.client.Do(request)
	if err != nil {
		return status, eris.Wrap(err, "request the status of the proxy")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, eris.Errorf("the proxy returned HTTP status %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, eris.Wrap(err, "decode the status of the proxy")
}

func (program *Program) printStatus(status spool.Status) Code {
	sections := []func(*tabwriter.Writer, spool.Status){
		printProxy, printVMs, printGroups, printServers, printManifests, printTeams,
	}
	for _, section := range sections {
		table := program.newTable()
		section(table, status)
		writeRow(table)
		if code := program.flush(table); code != Success {
			return code
		}
	}
	return Success
}

func printProxy(table *tabwriter.Writer, status spool.Status) {
	writeRow(table, "VM", status.VM)
	writeRow(table, "DOMAIN", status.Domain)
	writeRow(table, "DRAINING", status.Draining)
	writeRow(table, "PLATFORM IN REACH", status.PlatformInReach)
	writeRow(table, "SESSIONS", status.Sessions)
	writeRow(table, "AUDIT LOST", status.AuditLost)
	writeRow(table, "ROSTER", status.Quorum.Members)
	writeRow(table, "ROSTER CHANGING", status.Quorum.Changing, status.Quorum.Next)
}

func printVMs(table *tabwriter.Writer, status spool.Status) {
	writeRow(table, "VM", "DOMAIN", "IN REACH", "LEAVING")
	for _, vm := range status.VMs {
		writeRow(table, vm.VM, vm.Domain, vm.InReach, vm.Leaving)
	}
}

func printGroups(table *tabwriter.Writer, status spool.Status) {
	writeRow(table, "GROUP", "TERM", "PRIMARY", "KEEPER", "OPEN")
	for _, group := range status.Groups {
		writeRow(table, group.Group, group.Term, group.Primary, group.Leader, group.Open)
	}
}

func printServers(table *tabwriter.Writer, status spool.Status) {
	writeRow(table, "SERVER", "GROUP", "TERM", "POSITION", "IN REACH", "LEAVING")
	for _, group := range status.Groups {
		for _, server := range group.Servers {
			writeRow(table, server.Server, group.Group, server.Term, server.Position, server.InReach, server.Leaving)
		}
	}
}

func printManifests(table *tabwriter.Writer, status spool.Status) {
	writeRow(table, "PARTNER", "IN FORCE", "REFUSED", "FAULTS")
	for _, manifest := range status.Manifests {
		faults := strings.ReplaceAll(manifest.Faults.Error(), "\n", "; ")
		writeRow(table, manifest.Partner, manifest.Version, manifest.Refused, faults)
	}
}

func printTeams(table *tabwriter.Writer, status spool.Status) {
	writeRow(table, "TEAM", "OWNER", "RATE PER SECOND", "BURST", "GRANTED")
	for _, team := range status.Teams {
		writeRow(table, team.Team, team.Owner, team.RatePerSecond, team.Burst, team.Granted)
	}
}
