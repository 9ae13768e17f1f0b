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
	failoverTarget = 2 * time.Second
	withdrawTarget = 4 * time.Second
	leaveTarget    = 3 * time.Second
)

// writer writes unique keys through one proxy until it is stopped, connecting again when it is cut off.
type writer struct {
	fleet *fleet
	proxy int
	done  chan struct{}

	acked   map[string]time.Time
	refused map[string]bool // said to be "not run"
	unknown int
	longest time.Duration
}

func (fleet *fleet) write(proxy int, stop <-chan struct{}) *writer {
	writer := &writer{
		fleet: fleet, proxy: proxy, done: make(chan struct{}),
		acked: map[string]time.Time{}, refused: map[string]bool{},
	}
	go func() {
		defer close(writer.done)
		writer.run(stop)
	}()
	return writer
}

// load is a writer through each proxy.
type load struct {
	writers []*writer
	stop    chan struct{}
}

// load starts the writers and lets them run for a while.
func (fleet *fleet) load() *load {
	load := &load{stop: make(chan struct{})}
	for proxy := range fleet.proxies {
		load.writers = append(load.writers, fleet.write(proxy, load.stop))
	}
	time.Sleep(500 * time.Millisecond)
	return load
}

// end stops the writers and waits for their last answers.
func (load *load) end() {
	close(load.stop)
	for _, writer := range load.writers {
		<-writer.done
	}
}

func (writer *writer) run(stop <-chan struct{}) {
	last := time.Now()
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
			writer.record(key, err, &last)
			var answer *pgconn.PgError
			if errors.As(err, &answer) && answer.Severity != "FATAL" {
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

func (writer *writer) record(key string, err error, last *time.Time) {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		writer.fleet.c.Check(strings.Contains(answer.Message, "127.0.0.1"), qt.IsFalse, qt.Commentf("%v", answer))
	}
	switch {
	case err == nil:
		now := time.Now()
		writer.acked[key] = now
		writer.longest = max(writer.longest, now.Sub(*last))
		*last = now
	case errors.As(err, &answer) && answer.Detail == "The statement was not run.":
		writer.refused[key] = true
		writer.fleet.c.Logf("key %s was refused: %v", key, answer)
	default:
		writer.unknown++
	}
}

// check compares what the writers were told with the primary's log.
func (fleet *fleet) check(primary int, load *load) {
	counts := map[string]int{}
	for _, applied := range fleet.servers[primary].Log() {
		counts[applied.Key]++
	}
	for key, count := range counts {
		fleet.c.Check(count, qt.Equals, 1, qt.Commentf("key %s", key))
	}
	for _, writer := range load.writers {
		for key := range writer.acked {
			fleet.c.Check(counts[key], qt.Equals, 1, qt.Commentf("acknowledged key %s", key))
		}
		for key := range writer.refused {
			fleet.c.Check(counts[key], qt.Equals, 0, qt.Commentf("key %s was said not to have run", key))
		}
		fleet.c.Logf("proxy %d: %d acknowledged, %d not run, %d unknown, longest gap %v",
			writer.proxy, len(writer.acked), len(writer.refused), writer.unknown, writer.longest)
	}
}

func durable(manifest *spool.Manifest) { manifest.Routes[0].Durable = true }

func TestPrimaryKilledUnderLoad(t *testing.T) {
	fleet := newFleet(t, durable)
	load := fleet.load()
	fleet.servers[0].Close()
	time.Sleep(failoverTarget + time.Second)
	load.end()
	primary := fleet.findPrimary()
	fleet.c.Assert(primary, qt.Not(qt.Equals), 0)
	fleet.check(primary, load)
	for _, writer := range load.writers {
		fleet.c.Check(writer.longest < failoverTarget, qt.IsTrue, qt.Commentf("gap %v", writer.longest))
	}
}

// findPrimary returns the live server of the highest recorded term.
func (fleet *fleet) findPrimary() int {
	object, err := fleet.client.Get(context.Background(), spool.KindTerm, "kyushu.db")
	fleet.c.Assert(err, qt.IsNil)
	fleet.c.Logf("term: %s", object.Body)
	for i := range fleet.servers {
		if strings.Contains(string(object.Body), fmt.Sprintf(`"Primary":"kyushu.s%d"`, i+1)) {
			return i
		}
	}
	fleet.c.Fatal("the term names no server")
	return 0
}

func TestKeyWithdrawnFromConnectedSession(t *testing.T) {
	fleet := newFleet(t, nil)
	conn := fleet.mustConnect(2)
	_, err := conn.Exec(context.Background(), "PUT before withdrawal")
	fleet.c.Assert(err, qt.IsNil)
	fleet.manifest.Keys[0].Withdrawn = true
	fleet.push()
	begun := time.Now()
	for err == nil && time.Since(begun) < 2*withdrawTarget {
		_, err = conn.Exec(context.Background(), "GET before")
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(begun)
	fleet.c.Logf("the key stopped working after %v: %v", took, err)
	fleet.c.Assert(err, qt.IsNotNil)
	fleet.c.Assert(took < withdrawTarget, qt.IsTrue)
	_, err = fleet.connect(0)
	fleet.c.Assert(err, qt.IsNotNil)
}

func TestProxyStoppedUnderLoadCutsNothing(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.load()
	fleet.proxies[0].stop()
	fleet.c.Assert(<-fleet.proxies[0].done, qt.IsNil)
	time.Sleep(time.Second)
	load.end()
	fleet.check(0, load)
	for _, writer := range load.writers {
		fleet.c.Check(writer.unknown, qt.Equals, 0)
		fleet.c.Check(writer.longest < failoverTarget || writer.proxy == 0, qt.IsTrue)
	}
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.load()
	fleet.manifest.Groups[0].Servers[0].Leaving = true
	fleet.push()
	time.Sleep(leaveTarget)
	before := fleet.servers[0].Activity()
	reader := fleet.mustConnect(0)
	for range 50 {
		_, err := reader.Exec(context.Background(), "GET nothing")
		fleet.c.Assert(err, qt.IsNil)
	}
	after := fleet.servers[0].Activity()
	load.end()
	fleet.c.Check(after.PrimaryReads+after.ReplicaReads, qt.Equals, before.PrimaryReads+before.ReplicaReads)
	primary := fleet.findPrimary()
	fleet.c.Assert(primary, qt.Not(qt.Equals), 0)
	fleet.check(primary, load)
	for _, writer := range load.writers {
		fleet.c.Check(writer.unknown, qt.Equals, 0)
		fleet.c.Check(len(writer.refused), qt.Equals, 0)
	}
}

func TestWritesGoOnWhileThePlatformIsDown(t *testing.T) {
	fleet := newFleet(t, nil)
	fleet.platform.SetFaults(objsrv.Faults{DownFor: spool.Duration(time.Minute)})
	load := fleet.load()
	time.Sleep(5 * time.Second)
	load.end()
	fleet.check(0, load)
	for _, writer := range load.writers {
		fleet.c.Check(len(writer.acked) > 100, qt.IsTrue)
		fleet.c.Check(writer.unknown+len(writer.refused), qt.Equals, 0)
		fleet.c.Check(writer.longest < failoverTarget, qt.IsTrue)
	}
}

func TestPrimaryFrozenUnderLoad(t *testing.T) {
	fleet := newFleet(t, durable)
	load := fleet.load()
	frozen := spool.Duration(4 * time.Second)
	fleet.servers[0].UpdateFaults(regsrv.FaultUpdate{FrozenFor: &frozen})
	time.Sleep(6 * time.Second)
	load.end()
	primary := fleet.findPrimary()
	fleet.c.Assert(primary, qt.Not(qt.Equals), 0)
	fleet.check(primary, load)
	for _, writer := range load.writers {
		fleet.c.Check(writer.longest < failoverTarget, qt.IsTrue, qt.Commentf("gap %v", writer.longest))
	}
}
