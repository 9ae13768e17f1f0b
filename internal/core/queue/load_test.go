package queue_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/pkg/spool"
)

// Load of the known deployments: statements of three routes at servers with six slots, whose connections serve one team each.
const (
	handshakeTime  = 12 * time.Millisecond
	waitDivisor    = 4 // a request waits for a connection for its objective divided by this
	burstFactor    = 2.2
	hotTeamFactor  = 6
	usualLoad      = 0.75 // of the server's capacity
	playTime       = 30 * time.Second
	burstFrom      = 8 * time.Second
	burstUntil     = 22 * time.Second
	hopelessPeriod = 50 * time.Millisecond
)

// routeKind is one kind of statement.
type routeKind struct {
	work      time.Duration
	objective time.Duration
	portion   float64 // of the usual requests
}

var kinds = []routeKind{
	{11 * time.Millisecond, 800 * time.Millisecond, 0.2},
	{55 * time.Millisecond, 1200 * time.Millisecond, 0.4},
	{33 * time.Millisecond, 3000 * time.Millisecond, 0.4},
}

// policy is an order of the queue.
type policy struct {
	name         string
	prioritized  bool
	usesPriority bool
}

var policies = []policy{
	{"first come, first served", false, false},
	{"priority alone", false, true},
	{"fair between teams, priority inside", true, true},
}

// site is the part of a deployment whose requests share a queue.
type site struct {
	name        string
	slots       int // requests served at the same time
	connections int
	teams       int
}

var sites = []site{
	{"server: 6 slots, 65 connections, 80 teams", 6, 65, 80},
	{"lender: 2 connections, 7 teams", 2, 2, 7},
}

// request is one played request.
type request struct {
	kind    int
	team    int
	arrived time.Duration
	served  bool
	refused bool // at once or in the queue
}

// playEvent is something that happens at an instant.
type playEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type playEvents []playEvent

func (events playEvents) Len() int { return len(events) }
func (events playEvents) Less(i, j int) bool {
	return events[i].at < events[j].at || events[i].at == events[j].at && events[i].sequence < events[j].sequence
}
func (events playEvents) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *playEvents) Push(added any) {
	*events = append(*events, added.(playEvent))
}

func (events *playEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// play plays the load on one site with one policy on virtual time.
type play struct {
	site
	policy
	queue      *queue.Queue[*request]
	random     *rand.Rand
	events     playEvents
	sequence   int
	now        time.Duration
	busy       int
	idle       []int // team of each idle connection, the one that was idle longest first
	open       int
	handshakes int
	requests   []*request
}

func newPlay(site site, policy policy, seed uint64) *play {
	play := &play{site: site, policy: policy, queue: queue.New[*request](), random: rand.New(rand.NewPCG(seed, 1))}
	play.queue.SetPrioritized(policy.prioritized)
	return play
}

func (play *play) instant() spool.Instant { return spool.Instant(time.Hour + play.now) }

func (play *play) at(instant time.Duration, run func()) {
	play.sequence++
	heap.Push(&play.events, playEvent{instant, play.sequence, run})
}

// names holds the names of all teams.
var names = func() []spool.Team {
	var names []spool.Team
	for team := range 100 {
		names = append(names, spool.Team(fmt.Sprintf("team%03d", team)))
	}
	return names
}()

// usualRate returns the usual requests of one team and kind in a second.
func (play *play) usualRate(kind int) float64 {
	mean := 0.0
	for _, kind := range kinds {
		mean += kind.portion * kind.work.Seconds()
	}
	return usualLoad * float64(play.slots) / mean * kinds[kind].portion / float64(play.teams)
}

// arrive schedules the requests of one team and kind with exponential pauses: at the highest rate, of which those above the
// present rate are left out.
func (play *play) arrive(team, kind int) {
	highest := play.usualRate(kind) * burstFactor * hotTeamFactor
	next := play.now + time.Duration(play.random.ExpFloat64()/highest*float64(time.Second))
	if next > playTime {
		return
	}
	play.at(next, func() {
		if play.random.Float64() < play.factor(team, kind)/(burstFactor*hotTeamFactor) {
			play.ask(team, kind)
		}
		play.arrive(team, kind)
	})
}

// factor returns the present rate of a team and kind relative to the usual one.
func (play *play) factor(team, kind int) float64 {
	factor := 1.0
	if play.now < burstFrom || play.now >= burstUntil {
		return factor
	}
	if kind == len(kinds)-1 {
		factor *= burstFactor
	}
	if team == 0 {
		factor *= hotTeamFactor
	}
	return factor
}

// Free implements queue.Capacity.
func (play *play) Free(team spool.Team, _ queue.Target) (possible, reuse bool) {
	if play.busy >= play.slots {
		return false, false
	}
	for _, other := range play.idle {
		if names[other] == team {
			return true, true
		}
	}
	return true, false
}

func (play *play) ask(team, kind int) {
	asked := &request{kind: kind, team: team, arrived: play.now}
	play.requests = append(play.requests, asked)
	priority := 0
	if play.usesPriority {
		priority = kind
	}
	wait := kinds[kind].objective / waitDivisor
	if play.busy < play.slots && play.queue.Len() == 0 {
		play.serve(asked)
		return
	}
	ahead := play.queue.Ahead(names[team], queue.Target{}, priority, "", play.instant())
	if play.expected(ahead) > wait {
		asked.refused = true
		return
	}
	item := &queue.Item[*request]{
		Team: names[team], Priority: priority, Arrived: play.instant(), Deadline: play.instant().Add(wait), Value: asked,
	}
	if displaced := play.queue.Push(item, play.instant()); displaced != nil {
		displaced.Value.refused = true
	}
	play.dispatch()
	play.at(play.now+wait, func() {
		if play.queue.Remove(item) {
			asked.refused = true
		}
	})
}

func (play *play) expected(ahead int) time.Duration {
	return play.queue.MeanHold() * time.Duration(2*ahead+1) / time.Duration(2*play.slots)
}

func (play *play) dispatch() {
	play.queue.Dispatch(play.instant(), play, func(item *queue.Item[*request]) bool {
		if play.busy >= play.slots {
			return false
		}
		play.serve(item.Value)
		return true
	})
}

// serve runs a request on an idle connection of its team, or on a new one after a handshake.
func (play *play) serve(served *request) {
	play.busy++
	hold := kinds[served.kind].work
	found := -1
	for i, team := range play.idle {
		if team == served.team {
			found = i
		}
	}
	switch {
	case found >= 0:
		play.idle = append(play.idle[:found], play.idle[found+1:]...)
	case play.open < play.connections:
		play.open++
		hold += handshakeTime
		play.handshakes++
	default:
		play.idle = play.idle[1:] // closed, so that the limit holds
		hold += handshakeTime
		play.handshakes++
	}
	play.queue.Start(names[served.team], play.instant())
	play.at(play.now+hold, func() {
		play.busy--
		play.queue.Stop(names[served.team], play.instant())
		play.queue.Held(hold)
		play.idle = append(play.idle, served.team)
		served.served = play.now-served.arrived <= kinds[served.kind].objective
		play.dispatch()
	})
}

func (play *play) run() result {
	for team := range play.teams {
		for kind := range kinds {
			play.arrive(team, kind)
		}
	}
	var tick func()
	tick = func() {
		play.queue.RefuseHopeless("", play.instant(), func(_ queue.Target, ahead int) time.Duration { return play.expected(ahead) },
			func(item *queue.Item[*request], _ time.Duration) { item.Value.refused = true })
		if play.now < playTime {
			play.at(play.now+hopelessPeriod, tick)
		}
	}
	play.at(0, tick)
	for len(play.events) > 0 {
		next := heap.Pop(&play.events).(playEvent)
		play.now = next.at
		next.run()
	}
	return play.result()
}

// result is what callers got.
type result struct {
	byPriority  []float64 // share served in time, of the teams at their usual rate
	worstTeam   float64   // of the teams at their usual rate
	hotTeam     float64
	worstSecond float64 // of the teams at their usual rate
	withinRate  float64 // share of the requests of teams at their usual rate that were refused
	handshakes  float64 // for each request
	unanswered  int
}

// tally counts requests.
type tally struct{ asked, served, refused int }

func (tally *tally) add(request *request) {
	tally.asked++
	if request.served {
		tally.served++
	}
	if request.refused {
		tally.refused++
	}
}

func (tally tally) share() float64 { return float64(tally.served) / float64(max(1, tally.asked)) }

func (play *play) result() result {
	priorities := make([]tally, len(kinds))
	teams := make([]tally, play.teams)
	seconds := make([]tally, int(playTime/time.Second)+1)
	var usual tally
	counted := result{worstTeam: 1, worstSecond: 1}
	for _, request := range play.requests {
		if request.arrived < burstFrom || request.arrived >= burstUntil {
			continue
		}
		teams[request.team].add(request)
		if request.team != 0 {
			usual.add(request)
			priorities[request.kind].add(request)
			seconds[int(request.arrived/time.Second)].add(request)
		}
		if !request.served && !request.refused {
			counted.unanswered++
		}
	}
	for _, tally := range priorities {
		counted.byPriority = append(counted.byPriority, tally.share())
	}
	counted.hotTeam = teams[0].share()
	for _, tally := range teams[1:] {
		counted.worstTeam = min(counted.worstTeam, tally.share())
	}
	for _, tally := range seconds {
		if tally.asked > 0 {
			counted.worstSecond = min(counted.worstSecond, tally.share())
		}
	}
	counted.withinRate = float64(usual.refused) / float64(max(1, usual.asked))
	counted.handshakes = float64(play.handshakes) / float64(max(1, len(play.requests)))
	return counted
}

// TestOrderUnderLoad plays the same load with each order. It guards against an order that starves urgent requests, or teams
// that ask for no more than usual while another one asks for six times as much.
func TestOrderUnderLoad(t *testing.T) {
	c := qt.New(t)
	for _, site := range sites {
		t.Logf("%s", site.name)
		t.Logf("%-36s %5s %5s %5s %10s %8s %12s %12s %10s", "order", "p0", "p1", "p2", "worst team", "hot team", "worst second", "refused<rate", "handshakes")
		var results []result
		for _, policy := range policies {
			result := newPlay(site, policy, 1).run()
			t.Logf("%-36s %5.3f %5.3f %5.3f %10.3f %8.3f %12.3f %12.3f %10.3f", policy.name, result.byPriority[0], result.byPriority[1],
				result.byPriority[2], result.worstTeam, result.hotTeam, result.worstSecond, result.withinRate, result.handshakes)
			c.Assert(result.unanswered, qt.Equals, 0) // every request is served in time or refused
			results = append(results, result)
		}
		arrival, alone, fair := results[0], results[1], results[2]
		c.Assert(fair.byPriority[0] > 0.97, qt.IsTrue)
		c.Assert(fair.byPriority[0] >= fair.byPriority[2], qt.IsTrue)
		c.Assert(fair.byPriority[1] >= fair.byPriority[2], qt.IsTrue)
		c.Assert(fair.byPriority[2] >= alone.byPriority[2], qt.IsTrue)
		c.Assert(fair.withinRate < min(arrival.withinRate, alone.withinRate), qt.IsTrue)
		c.Assert(fair.worstSecond > max(arrival.worstSecond, alone.worstSecond), qt.IsTrue)
		c.Assert(fair.handshakes < max(arrival.handshakes, alone.handshakes), qt.IsTrue)
	}
}
