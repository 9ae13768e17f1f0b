package procs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

const (
	slowWritePrefix  = "late-"
	slowWriteTimeout = 2 * waitLimit
)

// slowWrites are writes that are in flight during a fault.
type slowWrites struct {
	fleet       *fleet
	history     *demo.History
	sent        sync.WaitGroup
	primaryLog  []regsrv.AppliedWrite
	logComplete chan struct{}
}

// startSlowWrites calls sendSlowWrites, resets the primary's work time for later statements and polls the primary's log.
func (fleet *fleet) startSlowWrites(proxy, primary demo.Process) *slowWrites {
	slowWrites := fleet.sendSlowWrites(proxy, primary)
	none := spool.Duration(0)
	fleet.setControl(primary, regsrv.FaultUpdate{WorkTime: &none})
	go slowWrites.pollLog(primary)
	return slowWrites
}

// sendSlowWrites sends writes through a proxy, each in its own session, and returns while the primary runs them, which
// takes slowWorkTime.
func (fleet *fleet) sendSlowWrites(proxy, primary demo.Process) *slowWrites {
	slowWrites := &slowWrites{fleet: fleet, history: demo.NewHistory(), logComplete: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), slowWriteTimeout)
	fleet.Cleanup(cancel)
	sessions := make([]*pgx.Conn, slowWriteCount)
	for i := range sessions {
		connection, err := demo.Connect(ctx, demo.Target{Address: proxy.Address, Key: fleet.plan.Keys[0]})
		fleet.Assert(err, qt.IsNil)
		sessions[i] = connection
	}
	work := spool.Duration(slowWorkTime)
	fleet.setControl(primary, regsrv.FaultUpdate{WorkTime: &work})
	for i, session := range sessions {
		slowWrites.sent.Go(func() { slowWrites.execute(ctx, session, fmt.Sprintf("%s%d", slowWritePrefix, i)) })
	}
	time.Sleep(sendWait)
	return slowWrites
}

func (slowWrites *slowWrites) execute(ctx context.Context, session *pgx.Conn, key string) {
	defer func() { _ = session.Close(ctx) }()
	start := time.Now()
	_, err := session.Exec(ctx, "APPEND "+key+" x")
	slowWrites.history.RecordWrite(demo.Write{Key: key, Values: []string{"x"}}, start, err)
}

// pollLog keeps the latest log of a server until the server is unreachable.
func (slowWrites *slowWrites) pollLog(server demo.Process) {
	defer close(slowWrites.logComplete)
	for {
		log, err := demo.Fetch[[]regsrv.AppliedWrite](server, "/log")
		if err != nil {
			return
		}
		slowWrites.primaryLog = log
		time.Sleep(waitStep)
	}
}

// appliedBy returns the number of slow writes in the last log of a server that has exited.
func (slowWrites *slowWrites) appliedBy(server demo.Process) int {
	<-slowWrites.logComplete
	slowWrites.fleet.Assert(slowWrites.fleet.processes[server.Name].ended(), qt.IsTrue)
	return countSlowWrites(slowWrites.primaryLog)
}

// countSlowWrites returns the number of slow writes in a log.
func countSlowWrites(log []regsrv.AppliedWrite) int {
	count := 0
	for _, applied := range log {
		if strings.HasPrefix(applied.Key, slowWritePrefix) {
			count++
		}
	}
	return count
}

// verify waits for all answers and compares them with the primary's log.
func (slowWrites *slowWrites) verify() demo.Violations {
	slowWrites.sent.Wait()
	return demo.CheckWrites(slowWrites.history.Writes, slowWrites.fleet.primaryLog())
}
