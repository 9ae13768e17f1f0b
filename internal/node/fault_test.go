package node_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"

	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxFailoverGap    = 2 * time.Second
	maxWithdrawalTime = 4 * time.Second
	switchoverWait    = 3 * time.Second
)

// writer appends to unique keys through one proxy until it is stopped, and reconnects when its session ends.
type writer struct {
	fleet *fleet
	proxy int
	done  chan struct{}

	acknowledged map[string]time.Time
	refused      map[string]bool // answered with "not run"
	unknown      int
	longestGap   time.Duration
}

func (fleet *fleet) startWriter(proxy int, stop <-chan struct{}) *writer {
	writer := &writer{
		fleet: fleet, proxy: proxy, done: make(chan struct{}),
		acknowledged: map[string]time.Time{}, refused: map[string]bool{},
	}
	go func() {
		defer close(writer.done)
		writer.run(stop)
	}()
	return writer
}

// writeLoad is one writer per proxy.
type writeLoad struct {
	writers []*writer
	stop    chan struct{}
}

// startLoad starts the writers and lets them run for 500 ms.
func (fleet *fleet) startLoad() *writeLoad {
	writeLoad := &writeLoad{stop: make(chan struct{})}
	for proxy := range fleet.proxies {
		writeLoad.writers = append(writeLoad.writers, fleet.startWriter(proxy, writeLoad.stop))
	}
	time.Sleep(500 * time.Millisecond)
	return writeLoad
}

// stopAndWait stops the writers and waits for their last answers.
func (writeLoad *writeLoad) stopAndWait() {
	close(writeLoad.stop)
	for _, writer := range writeLoad.writers {
		<-writer.done
	}
}

func (writer *writer) run(stop <-chan struct{}) {
	lastAck := time.Now()
	for i := 0; ; i++ {
		conn, err := writer.fleet.connect(writer.proxy)
		for ; err == nil; i++ {
			select {
			case <-stop:
				_ = conn.Close(context.Background())
				return
			default:
			}
			key := fmt.Sprintf("w%d-%d", writer.proxy, i)
			_, err = conn.Exec(context.Background(), "APPEND $1 $2", key, "v")
			writer.record(key, err, &lastAck)
			var pgErr *pgconn.PgError
			if errors.As(err, &pgErr) && pgErr.Severity != "FATAL" {
				err = nil
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (writer *writer) record(key string, err error, lastAck *time.Time) {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		writer.fleet.c.Check(strings.Contains(pgErr.Message, "127.0.0.1"), qt.IsFalse, qt.Commentf("%v", pgErr))
	}
	switch {
	case err == nil:
		now := time.Now()
		writer.acknowledged[key] = now
		writer.longestGap = max(writer.longestGap, now.Sub(*lastAck))
		*lastAck = now
	case errors.As(err, &pgErr) && pgErr.Detail == "The statement was not run.":
		writer.refused[key] = true
		writer.fleet.c.Logf("key %s was refused: %v", key, pgErr)
	default:
		writer.unknown++
	}
}

// checkLog compares the outcomes that the writers received with the primary's log.
func (fleet *fleet) checkLog(primary int, writeLoad *writeLoad) {
	counts := map[string]int{}
	for _, applied := range fleet.servers[primary].Log() {
		counts[applied.Key]++
	}
	for key, count := range counts {
		fleet.c.Check(count, qt.Equals, 1, qt.Commentf("key %s", key))
	}
	for _, writer := range writeLoad.writers {
		for key := range writer.acknowledged {
			fleet.c.Check(counts[key], qt.Equals, 1, qt.Commentf("acknowledged key %s", key))
		}
		for key := range writer.refused {
			fleet.c.Check(counts[key], qt.Equals, 0, qt.Commentf("key %s answered as not run", key))
		}
		fleet.c.Logf("proxy %d: %d acknowledged, %d not run, %d unknown, longest gap %v",
			writer.proxy, len(writer.acknowledged), len(writer.refused), writer.unknown, writer.longestGap)
	}
}

func makeDurable(manifest *spool.Manifest) { manifest.Routes[0].Durable = true }

func TestPrimaryKilledUnderLoad(t *testing.T) {
	fleet := newFleet(t, makeDurable)
	writeLoad := fleet.startLoad()
	fleet.servers[0].Close()
	time.Sleep(maxFailoverGap + time.Second)
	writeLoad.stopAndWait()
	primary := fleet.findPrimary()
	fleet.c.Assert(primary, qt.Not(qt.Equals), 0)
	fleet.checkLog(primary, writeLoad)
	for _, writer := range writeLoad.writers {
		fleet.c.Check(writer.longestGap < maxFailoverGap, qt.IsTrue, qt.Commentf("gap %v", writer.longestGap))
	}
}

// findPrimary returns the index of the primary in the term record.
func (fleet *fleet) findPrimary() int {
	object, err := fleet.client.Get(context.Background(), spool.KindTerm, "kyushu.db")
	fleet.c.Assert(err, qt.IsNil)
	fleet.c.Logf("term record: %s", object.Body)
	for i := range fleet.servers {
		if strings.Contains(string(object.Body), fmt.Sprintf(`"Primary":"kyushu.s%d"`, i+1)) {
			return i
		}
	}
	fleet.c.Fatal("term record names no known primary")
	return 0
}

// TestKeyWithdrawnFromConnectedSession guards against a withdrawn key that works at any proxy for longer than the bound for
// changes of the configuration: its session at one proxy, and logins at all of them.
func TestKeyWithdrawnFromConnectedSession(t *testing.T) {
	fleet := newFleet(t, nil)
	conn := fleet.mustConnect(2)
	_, err := conn.Exec(context.Background(), "PUT before withdrawal")
	fleet.c.Assert(err, qt.IsNil)
	fleet.manifest.Keys[0].Withdrawn = true
	fleet.putManifest()
	withdrawnAt := time.Now()
	for err == nil && time.Since(withdrawnAt) < 2*maxWithdrawalTime {
		_, err = conn.Exec(context.Background(), "GET before")
		time.Sleep(5 * time.Millisecond)
	}
	elapsed := time.Since(withdrawnAt)
	fleet.c.Logf("the key stopped working after %v: %v", elapsed, err)
	fleet.c.Assert(err, qt.IsNotNil)
	fleet.c.Assert(elapsed < maxWithdrawalTime, qt.IsTrue)
	for proxy := range fleet.proxies {
		_, err := fleet.connect(proxy)
		for err == nil && time.Since(withdrawnAt) < maxWithdrawalTime {
			time.Sleep(5 * time.Millisecond)
			_, err = fleet.connect(proxy)
		}
		fleet.c.Assert(err, qt.IsNotNil, qt.Commentf("a login at proxy %d", proxy))
	}
	for proxy := range fleet.proxies { // the withdrawal stays in force
		_, err := fleet.connect(proxy)
		fleet.c.Assert(err, qt.IsNotNil, qt.Commentf("a second login at proxy %d", proxy))
	}
}

func TestProxyDrainUnderLoadLosesNoRequest(t *testing.T) {
	fleet := newFleet(t, nil)
	writeLoad := fleet.startLoad()
	fleet.proxies[0].stop()
	fleet.c.Assert(<-fleet.proxies[0].done, qt.IsNil)
	time.Sleep(time.Second)
	writeLoad.stopAndWait()
	fleet.checkLog(0, writeLoad)
	for _, writer := range writeLoad.writers {
		fleet.c.Check(writer.unknown, qt.Equals, 0)
		fleet.c.Check(writer.longestGap < maxFailoverGap || writer.proxy == 0, qt.IsTrue)
	}
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	fleet := newFleet(t, nil)
	writeLoad := fleet.startLoad()
	fleet.manifest.Groups[0].Servers[0].Leaving = true
	fleet.putManifest()
	time.Sleep(switchoverWait)
	before := fleet.servers[0].Activity()
	reader := fleet.mustConnect(0)
	for range 50 {
		_, err := reader.Exec(context.Background(), "GET nothing")
		fleet.c.Assert(err, qt.IsNil)
	}
	after := fleet.servers[0].Activity()
	writeLoad.stopAndWait()
	fleet.c.Check(after.PrimaryReads+after.ReplicaReads, qt.Equals, before.PrimaryReads+before.ReplicaReads)
	primary := fleet.findPrimary()
	fleet.c.Assert(primary, qt.Not(qt.Equals), 0)
	fleet.checkLog(primary, writeLoad)
	for _, writer := range writeLoad.writers {
		fleet.c.Check(writer.unknown, qt.Equals, 0)
		fleet.c.Check(len(writer.refused), qt.Equals, 0)
	}
}

func TestWritesContinueDuringPlatformOutage(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.platform.SetFaults(objsrv.Faults{DownFor: spool.Duration(time.Minute)})
	writeLoad := fleet.startLoad()
	time.Sleep(5 * time.Second)
	writeLoad.stopAndWait()
	fleet.checkLog(0, writeLoad)
	for _, writer := range writeLoad.writers {
		fleet.c.Check(len(writer.acknowledged) > 100, qt.IsTrue)
		fleet.c.Check(writer.unknown+len(writer.refused), qt.Equals, 0)
		fleet.c.Check(writer.longestGap < maxFailoverGap, qt.IsTrue)
	}
}

func TestPrimaryFrozenUnderLoad(t *testing.T) {
	fleet := newFleet(t, makeDurable)
	writeLoad := fleet.startLoad()
	frozen := spool.Duration(4 * time.Second)
	fleet.servers[0].UpdateFaults(regsrv.FaultUpdate{FrozenFor: &frozen})
	time.Sleep(6 * time.Second)
	writeLoad.stopAndWait()
	primary := fleet.findPrimary()
	fleet.c.Assert(primary, qt.Not(qt.Equals), 0)
	fleet.checkLog(primary, writeLoad)
	for _, writer := range writeLoad.writers {
		fleet.c.Check(writer.longestGap < maxFailoverGap, qt.IsTrue, qt.Commentf("gap %v", writer.longestGap))
	}
}
