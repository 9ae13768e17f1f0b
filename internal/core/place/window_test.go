package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func TestWindowHalvesOncePerPauseAndGrows(t *testing.T) {
	c := qt.New(t)
	var window CongestionWindow
	now := spool.Instant(time.Hour)
	c.Assert(window.Allows(1000), qt.IsTrue)
	window.Shrink(16, now)
	window.Shrink(16, now.Add(cutPause-1))
	c.Assert(window.Allows(7), qt.IsTrue)
	c.Assert(window.Allows(8), qt.IsFalse)
	for range 8 {
		window.RecordAnswer(8, 100)
	}
	c.Assert(window.Allows(8), qt.IsTrue)
	for i := range 10 {
		window.Shrink(9, now.Add(cutPause*time.Duration(i+1)))
	}
	c.Assert(window.Allows(0), qt.IsTrue)
	c.Assert(window.Allows(1), qt.IsFalse)
	for range 100 {
		window.RecordAnswer(4, 5)
	}
	c.Assert(window.Allows(1000), qt.IsTrue)
}

func TestWaitGrowsWithThoseAhead(t *testing.T) {
	c := qt.New(t)
	var window CongestionWindow
	c.Assert(window.ExpectedWait(7, 4, 50*time.Millisecond), qt.Equals, 100*time.Millisecond)
	window.Shrink(4, spool.Instant(time.Hour))
	c.Assert(window.ExpectedWait(7, 4, 50*time.Millisecond), qt.Equals, 200*time.Millisecond)
}

// statement is one that a server of the test works on or has queued.
type statement struct {
	proxy int
	sent  time.Duration
	ends  time.Duration
}

// congested plays 73 proxies that each want four statements at once of a server that answers 200 a second, and returns how
// many were answered within the second that a statement has.
func congested(limited bool) (inTime int) {
	const (
		proxies = 73
		wanted  = 4 // connections of a proxy to the server
		work    = 5 * time.Millisecond
		patient = time.Second
		length  = 20 * time.Second
	)
	windows := make([]CongestionWindow, proxies)
	healths := make([]Health, proxies)
	underway := make([]int, proxies)
	var queue []statement
	free := time.Duration(0) // when the server has worked off all it has
	send := func(proxy int, now time.Duration) {
		for underway[proxy] < wanted && (!limited || windows[proxy].Allows(underway[proxy])) {
			underway[proxy]++
			free = max(free, now) + work
			queue = append(queue, statement{proxy: proxy, sent: now, ends: free})
		}
	}
	for proxy := range proxies {
		send(proxy, 0)
	}
	for len(queue) > 0 {
		done := queue[0]
		queue = queue[1:]
		if done.ends > length {
			break
		}
		proxy, took, now := done.proxy, done.ends-done.sent, spool.Instant(time.Hour).Add(done.ends)
		if took <= patient {
			inTime++
			healths[proxy].RecordSuccess(took, now)
		}
		if took > patient || healths[proxy].Congested() {
			windows[proxy].Shrink(underway[proxy], now)
		} else {
			windows[proxy].RecordAnswer(underway[proxy], wanted)
		}
		underway[proxy]--
		send(proxy, done.ends)
	}
	return inTime
}

// TestCongestedServerAnswersInTime plays a group left with one server: with as many statements under way as there are
// connections, each answer is late; with windows nearly all are in time.
func TestCongestedServerAnswersInTime(t *testing.T) {
	c := qt.New(t)
	before, after := congested(false), congested(true)
	c.Assert(before < 400, qt.IsTrue, qt.Commentf("%d in time without windows", before))
	c.Assert(after > 3500, qt.IsTrue, qt.Commentf("%d of 4000 in time with windows", after))
}
