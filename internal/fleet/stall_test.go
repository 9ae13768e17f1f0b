package fleet_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/kvsrv"
)

// writeFor has a caller at each proxy write for a duration, with a new session for each write.
func (cluster *cluster) writeFor(duration time.Duration) {
	var writing sync.WaitGroup
	began := time.Now()
	for index := range cluster.settings {
		writing.Go(func() {
			for time.Since(began) < duration {
				caller := cluster.connect(index, "primary", "key-red")
				caller.execute("WRITE item one")
				caller.Close()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	writing.Wait()
}

// TestPrimaryThatCompletesNoCommitIsReplaced cuts the primary off from its replicas: it still begins transactions and reads,
// but completes no commit until a replica is promoted.
func TestPrimaryThatCompletesNoCommitIsReplaced(t *testing.T) {
	c := qt.New(t)
	const within = 12 * time.Second // the users' limit for a failover
	cluster := newCluster(t, 3)
	c.Assert(cluster.connect(0, "primary", "key-red").execute("WRITE item first"), qt.Equals, "")
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.group.IsolatePrimary()
	began := time.Now()
	var writing sync.WaitGroup
	writing.Go(func() { cluster.writeFor(within / 2) })
	for cluster.group.Primary() == "a" && time.Since(began) < within {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(time.Since(began) < within, qt.IsTrue)
	writing.Wait()
	caller := cluster.connect(1, "primary", "key-red")
	cluster.waitUntil(func() bool { return caller.execute("WRITE item last") == "" })
	written := cluster.group.WrittenValues("item")
	c.Assert(written[0], qt.Equals, "first")
	c.Assert(written[len(written)-1], qt.Equals, "last")
}

// TestPrimaryThatLosesSomeAnswersStays drops some answers to commits while others arrive: the primary must not be replaced.
func TestPrimaryThatLosesSomeAnswersStays(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 3)
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	var writing sync.WaitGroup
	writing.Go(func() { cluster.writeFor(5 * time.Second) })
	for range 8 {
		time.Sleep(500 * time.Millisecond)
		cluster.group.Server("a").LoseAnswers(2)
	}
	writing.Wait()
	c.Assert(cluster.group.Primary(), qt.Equals, cluster.group.Server("a").ID)
}

// TestReadsGoOnWhileThePrimaryCompletesNoCommit cuts the primary off from its replicas while no promotion is possible: after
// the first timeout writes are refused at once, and reads are served.
func TestReadsGoOnWhileThePrimaryCompletesNoCommit(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 2)
	c.Assert(cluster.connect(0, "primary", "key-red").execute("WRITE item first"), qt.Equals, "")
	cluster.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable}) // no promotion
	cluster.group.IsolatePrimary()
	writer, reader := cluster.connect(0, "primary", "key-red"), cluster.connect(0, "primary", "key-red")
	c.Assert(writer.execute("WRITE item second"), qt.Equals, "TIMEOUT")
	c.Assert(writer.execute("WRITE item third"), qt.Equals, "BUSY")
	other := cluster.connect(0, "primary", "key-red")
	c.Assert(other.execute("BEGIN"), qt.Equals, "")
	c.Assert(other.execute("WRITE item fourth"), qt.Equals, "BUSY")
	for range 20 {
		began := time.Now()
		c.Assert(reader.execute("READ item"), qt.Matches, "first|second") // the outcome of the second is unknown
		c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	}
}
