package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func TestWindowHalvesOncePerIntervalAndGrows(t *testing.T) {
	c := qt.New(t)
	var congestionWindow CongestionWindow
	now := spool.Instant(time.Hour)
	c.Assert(congestionWindow.Allows(1000), qt.IsTrue)
	congestionWindow.Shrink(16, now)
	congestionWindow.Shrink(16, now.Add(shrinkInterval-1))
	c.Assert(congestionWindow.Allows(7), qt.IsTrue)
	c.Assert(congestionWindow.Allows(8), qt.IsFalse)
	for range 8 {
		congestionWindow.RecordAnswer(8, 100)
	}
	c.Assert(congestionWindow.Allows(8), qt.IsTrue)
	for i := range 10 {
		congestionWindow.Shrink(9, now.Add(shrinkInterval*time.Duration(i+1)))
	}
	c.Assert(congestionWindow.Allows(0), qt.IsTrue)
	c.Assert(congestionWindow.Allows(1), qt.IsFalse)
	for range 100 {
		congestionWindow.RecordAnswer(4, 5)
	}
	c.Assert(congestionWindow.Allows(1000), qt.IsTrue)
}

func TestExpectedWaitGrowsWithQueue(t *testing.T) {
	c := qt.New(t)
	var congestionWindow CongestionWindow
	c.Assert(congestionWindow.ExpectedWait(7, 4, 50*time.Millisecond), qt.Equals, 100*time.Millisecond)
	congestionWindow.Shrink(4, spool.Instant(time.Hour))
	c.Assert(congestionWindow.ExpectedWait(7, 4, 50*time.Millisecond), qt.Equals, 200*time.Millisecond)
}

// statement is a statement that the simulated server processes or has queued.
type statement struct {
	proxy int
	sent  time.Duration
	ends  time.Duration
}

// simulateCongestion runs 73 proxies that each try to keep four statements in flight at a server that answers 200 per
// second, and returns the number of statements answered within their timeout of one second.
func simulateCongestion(limited bool) (inTime int) {
	const (
		proxies  = 73
		wanted   = 4 // connections of a proxy to the server
		work     = 5 * time.Millisecond
		timeout  = time.Second
		duration = 20 * time.Second
	)
	windows := make([]CongestionWindow, proxies)
	healths := make([]Health, proxies)
	inFlight := make([]int, proxies)
	var queue []statement
	idleAt := time.Duration(0) // when the server has processed its queue
	send := func(proxy int, now time.Duration) {
		for inFlight[proxy] < wanted && (!limited || windows[proxy].Allows(inFlight[proxy])) {
			inFlight[proxy]++
			idleAt = max(idleAt, now) + work
			queue = append(queue, statement{proxy: proxy, sent: now, ends: idleAt})
		}
	}
	for proxy := range proxies {
		send(proxy, 0)
	}
	for len(queue) > 0 {
		done := queue[0]
		queue = queue[1:]
		if done.ends > duration {
			break
		}
		proxy, took, now := done.proxy, done.ends-done.sent, spool.Instant(time.Hour).Add(done.ends)
		if took <= timeout {
			inTime++
			healths[proxy].RecordSuccess(took, now)
		}
		if took > timeout || healths[proxy].Congested() {
			windows[proxy].Shrink(inFlight[proxy], now)
		} else {
			windows[proxy].RecordAnswer(inFlight[proxy], wanted)
		}
		inFlight[proxy]--
		send(proxy, done.ends)
	}
	return inTime
}

// TestCongestedServerAnswersInTime simulates a group with one remaining server: with as many statements in flight as
// connections every answer is late; with congestion windows nearly all are in time.
func TestCongestedServerAnswersInTime(t *testing.T) {
	c := qt.New(t)
	before, after := simulateCongestion(false), simulateCongestion(true)
	c.Assert(before < 400, qt.IsTrue, qt.Commentf("%d in time without windows", before))
	c.Assert(after > 3500, qt.IsTrue, qt.Commentf("%d of 4000 in time with windows", after))
}
