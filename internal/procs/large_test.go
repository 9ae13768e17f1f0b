package procs

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/pkg/spool"
)

const (
	megabyte      = 1_000_000
	rowBytes      = 100_000
	rowsPerPause  = 5
	readerPause   = 5 * time.Millisecond
	residentLimit = 64 << 20
	largeTimeout  = 10 * time.Minute
)

// TestLargeResultToSlowReader guards against buffering of results: while a slow reader reads a large result through a
// proxy that is not the leader, the resident size of both proxies stays below 64 MB.
func TestLargeResultToSlowReader(t *testing.T) {
	size := scaled(t, 200*megabyte, 1000*megabyte)
	fleet := newFleet(t, func(fleet *fleet) {
		fleet.manifest.Routes[0].Timeout = spool.Duration(largeTimeout)
	})
	leader, _ := fleet.leader()
	nonLeader := fleet.others(leader)[0]
	start := time.Now()
	received := fleet.readSlowly(nonLeader, size/rowBytes)
	took := time.Since(start)
	fleet.Check(received, qt.Equals, size)
	for _, proxy := range []demo.Process{nonLeader, leader} {
		peak := fleet.peakResident(proxy)
		t.Logf("%s: at most %.1f MB resident", proxy.Name, float64(peak)/(1<<20))
		fleet.Check(peak < residentLimit, qt.IsTrue, qt.Commentf("%s", proxy.Name))
	}
	t.Logf("%d bytes through %s to a slow reader in %.1f s, the leader is %s", received, nonLeader.Name, took.Seconds(), leader.Name)
	currentLeader, _ := fleet.leader()
	fleet.Check(currentLeader.Name, qt.Equals, leader.Name, qt.Commentf("the leader changed during the test"))
}

// readSlowly reads rows with a pause after every fifth and returns the bytes of all values.
func (fleet *fleet) readSlowly(proxy demo.Process, rows int) int {
	ctx, cancel := context.WithTimeout(context.Background(), largeTimeout)
	defer cancel()
	connection, err := demo.Connect(ctx, demo.Target{Address: proxy.Address, Key: fleet.plan.Keys[0]})
	fleet.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close(ctx) }()
	reader := connection.PgConn().Exec(ctx, fmt.Sprintf("ROWS %d %d", rows, rowBytes))
	received, count := 0, 0
	for reader.NextResult() {
		for reader.ResultReader().NextRow() {
			received += len(reader.ResultReader().Values()[0])
			if count++; count%rowsPerPause == 0 {
				time.Sleep(readerPause)
			}
		}
	}
	fleet.Assert(reader.Close(), qt.IsNil)
	return received
}

// peakResident returns the peak resident size (VmHWM) of a process in bytes.
func (fleet *fleet) peakResident(proxy demo.Process) int {
	pid := fleet.processes[proxy.Name].command.Process.Pid
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	fleet.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			fleet.Assert(err, qt.IsNil)
			return kilobytes << 10
		}
	}
	fleet.Fatalf("process %d has no VmHWM", pid)
	return 0
}
