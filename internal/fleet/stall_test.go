package fleet_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/kvsrv"
)

// writeFor lets callers at all proxies write for a while, each with a session for every operation.
func (world *world) writeFor(duration time.Duration) {
	var writing sync.WaitGroup
	began := time.Now()
	for index := range world.settings {
		writing.Go(func() {
			for time.Since(began) < duration {
				caller := world.connect(index, "primary", "key-red")
				caller.ask("WRITE item one")
				caller.Close()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	writing.Wait()
}

// TestPrimaryThatCompletesNoCommitIsReplaced cuts a primary off its replicas: it begins transactions and reads, and no write
// is acknowledged until a replica takes over.
func TestPrimaryThatCompletesNoCommitIsReplaced(t *testing.T) {
	c := qt.New(t)
	const within = 12 * time.Second // the users' bound on a change of primary
	world := newWorld(t, 3)
	c.Assert(world.connect(0, "primary", "key-red").ask("WRITE item first"), qt.Equals, "")
	time.Sleep(2 * time.Second) // until the proxies supervise
	world.group.Isolate()
	began := time.Now()
	var writing sync.WaitGroup
	writing.Go(func() { world.writeFor(within / 2) })
	for world.group.Primary() == "a" && time.Since(began) < within {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(time.Since(began) < within, qt.IsTrue)
	writing.Wait()
	caller := world.connect(1, "primary", "key-red")
	world.eventually(func() bool { return caller.ask("WRITE item last") == "" })
	written := world.group.Written("item")
	c.Assert(written[0], qt.Equals, "first")
	c.Assert(written[len(written)-1], qt.Equals, "last")
}

// TestPrimaryThatLosesSomeAnswersStays loses answers to commits now and then while others are answered.
func TestPrimaryThatLosesSomeAnswersStays(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 3)
	time.Sleep(2 * time.Second) // until the proxies supervise
	var writing sync.WaitGroup
	writing.Go(func() { world.writeFor(5 * time.Second) })
	for range 8 {
		time.Sleep(500 * time.Millisecond)
		world.group.Server("a").LoseAnswers(2)
	}
	writing.Wait()
	c.Assert(world.group.Primary(), qt.Equals, world.group.Server("a").ID)
}

// TestReadsGoOnWhileThePrimaryCompletesNoCommit cuts a primary off its replicas and keeps it in place: writes are refused at
// once after the first ones, and reads are served.
func TestReadsGoOnWhileThePrimaryCompletesNoCommit(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 2)
	c.Assert(world.connect(0, "primary", "key-red").ask("WRITE item first"), qt.Equals, "")
	world.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable}) // no promotion
	world.group.Isolate()
	writer, reader := world.connect(0, "primary", "key-red"), world.connect(0, "primary", "key-red")
	c.Assert(writer.ask("WRITE item second"), qt.Equals, "TIMEOUT")
	c.Assert(writer.ask("WRITE item third"), qt.Equals, "BUSY")
	other := world.connect(0, "primary", "key-red")
	c.Assert(other.ask("BEGIN"), qt.Equals, "")
	c.Assert(other.ask("WRITE item fourth"), qt.Equals, "BUSY")
	for range 20 {
		began := time.Now()
		c.Assert(reader.ask("READ item"), qt.Matches, "first|second") // the outcome of the second is unknown
		c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	}
}
