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
	latePrefix  = "late-"
	lateTimeout = 2 * waitLimit
)

// late is writes that are in flight when their leader is frozen.
type late struct {
	fleet      *fleet
	ledger     *demo.Ledger
	sent       sync.WaitGroup
	primaryLog []regsrv.Applied
	logged     chan struct{}
}

// writeSlowly sends writes through a proxy, each over a session of its own, and returns while the primary works on them.
func (fleet *fleet) writeSlowly(proxy, primary demo.Process) *late {
	late := fleet.sendSlowly(proxy, primary)
	none := spool.Duration(0)
	fleet.control(primary, regsrv.Control{WorkTime: &none})
	go late.watch(primary)
	return late
}

// sendSlowly sends writes that the primary goes on working on for some time.
func (fleet *fleet) sendSlowly(proxy, primary demo.Process) *late {
	late := &late{fleet: fleet, ledger: demo.NewLedger(), logged: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
	fleet.Cleanup(cancel)
	sessions := make([]*pgx.Conn, lateWrites)
	for i := range sessions {
		connection, err := demo.Connect(ctx, demo.Target{Address: proxy.Address, Key: fleet.plan.Keys[0]})
		fleet.Assert(err, qt.IsNil)
		sessions[i] = connection
	}
	work := spool.Duration(slowWork)
	fleet.control(primary, regsrv.Control{WorkTime: &work})
	for i, session := range sessions {
		late.sent.Go(func() { late.write(ctx, session, fmt.Sprintf("%s%d", latePrefix, i)) })
	}
	time.Sleep(sendTime)
	return late
}

func (late *late) write(ctx context.Context, session *pgx.Conn, key string) {
	defer func() { _ = session.Close(ctx) }()
	begun := time.Now()
	_, err := session.Exec(ctx, "APPEND "+key+" x")
	late.ledger.Write(demo.Write{Key: key, Values: []string{"x"}}, begun, err)
}

// watch keeps the latest log of a server until the server is gone.
func (late *late) watch(server demo.Process) {
	defer close(late.logged)
	for {
		log, err := demo.Fetch[[]regsrv.Applied](server, "/log")
		if err != nil {
			return
		}
		late.primaryLog = log
		time.Sleep(waitStep)
	}
}

// appliedBy counts the writes that the server had run before it was gone.
func (late *late) appliedBy(server demo.Process) int {
	<-late.logged
	late.fleet.Assert(late.fleet.processes[server.Name].ended(), qt.IsTrue)
	return countLate(late.primaryLog)
}

// countLate counts the values that such writes left in a log.
func countLate(log []regsrv.Applied) int {
	count := 0
	for _, applied := range log {
		if strings.HasPrefix(applied.Key, latePrefix) {
			count++
		}
	}
	return count
}

// judge compares what the callers of the writes were told with the log of the primary.
func (late *late) judge() demo.Verdict {
	late.sent.Wait()
	return demo.Judge(late.ledger.Writes, late.fleet.primaryLog())
}
