package fleet_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/linecl"
)

// readUntilStopped reads in transactions with pauses, with a new session after each that ends, until no more sessions are
// accepted. It returns the IDs of the statements that got no answer, and the number of those that got one.
func (cluster *cluster) readUntilStopped(index int) (unanswered []string, answered int) {
	for {
		client, err := linecl.Dial(cluster.settings[index].Callers)
		if err != nil {
			return unanswered, answered
		}
		client.Open("session", "key-red")
		for text := "BEGIN READ"; ; text = "READ item" {
			reply := client.Query(text)
			if reply.State == linecl.Closed {
				unanswered = append(unanswered, client.LastID)
				break
			}
			answered++
			if reply.Code != linecl.Done {
				break
			}
			time.Sleep(120 * time.Millisecond)
		}
		client.Close()
	}
}

// TestStopAnswersEveryRequest guards against requests that are cut off without an answer by a planned stop: callers keep their
// transactions open, and new ones arrive, until the process is gone.
func TestStopAnswersEveryRequest(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 2)
	cluster.configure(1000, "key-red")
	c.Assert(cluster.connect(1, "primary", "key-red").execute("WRITE item one"), qt.Equals, "")
	for _, server := range cluster.group.Servers() {
		server.WorkTime = 100 * time.Millisecond
	}
	var reading sync.WaitGroup
	var mutex sync.Mutex
	var unanswered []string
	total := 0
	for range 8 {
		reading.Go(func() {
			lost, answered := cluster.readUntilStopped(0)
			mutex.Lock()
			defer mutex.Unlock()
			unanswered, total = append(unanswered, lost...), total+answered
		})
	}
	time.Sleep(time.Second)
	began := time.Now()
	cluster.stopFuncs[0]()
	c.Check(time.Since(began) < cluster.settings[0].Bounds.Grace, qt.IsTrue)
	reading.Wait()
	c.Check(total > 80, qt.IsTrue, qt.Commentf("%d", total))
	executed := map[string]bool{}
	for _, execution := range cluster.group.Executions() {
		executed[execution.ID] = true
	}
	for _, id := range unanswered {
		c.Check(executed[id], qt.IsFalse, qt.Commentf("a server ran %s", id))
	}
}
