package queue

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// usageWindow is the time constant of the decay of used server time. It spans several objectives, so that a team that
	// used more than its share for a second gives way for about as long.
	usageWindow = 2 * time.Second
	// shareTolerance keeps a team within its share until its use exceeds the share by this factor. Without it about half of
	// the teams with equal load would count as beyond their share at any time.
	shareTolerance = 1.5
	// holdTolerance is how many connections, each held once, a team may use beyond that. Where few connections are shared, one
	// long statement changes the use of a team by much.
	holdTolerance = 2
	// maxToleratedHold bounds the hold time that counts for this, so that a team cannot raise its share by long transactions.
	maxToleratedHold = 60 * time.Millisecond
	// minUsage is the use, in connections, below which a team that runs and waits for nothing is forgotten.
	minUsage     = 1e-3
	shareRounds  = 8                     // of the max-min division; each raises the share by what smaller demands leave
	holdDecay    = 0.98                  // factor by which each release decays earlier measurements of the hold time
	defaultHold  = 30 * time.Millisecond // before any measurement
	prunedLength = 256                   // teams from which on idle ones are forgotten
)

// team is the server time that a team uses.
type team struct {
	name      spool.Team
	usage     float64 // mean number of connections in use, with exponential decay
	running   int
	waiting   int
	chargedAt spool.Instant
	within    bool // the team's use is within its fair share, as of the last division
}

// charge adds the use since the last call and decays earlier use.
func (team *team) charge(now spool.Instant) {
	elapsed := now.Sub(team.chargedAt)
	if elapsed <= 0 {
		return
	}
	team.chargedAt = now
	decay := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	team.usage = team.usage*decay + float64(team.running)*(1-decay)
}

// team returns the account of a team and adds it if it is not known.
func (queue *Queue[T]) team(name spool.Team, now spool.Instant) *team {
	found := queue.teams[name]
	if found == nil {
		queue.forgetIdle(now)
		found = &team{name: name, chargedAt: now, within: true}
		queue.teams[name] = found
	}
	return found
}

// forgetIdle removes teams without recent use if there are many accounts.
func (queue *Queue[T]) forgetIdle(now spool.Instant) {
	if len(queue.teams) < prunedLength {
		return
	}
	for name, team := range queue.teams {
		team.charge(now)
		if team.running == 0 && team.waiting == 0 && team.usage < minUsage {
			delete(queue.teams, name)
		}
	}
}

// Start records that a connection begins to work for a team.
func (queue *Queue[T]) Start(name spool.Team, now spool.Instant) {
	team := queue.team(name, now)
	team.charge(now)
	team.running++
}

// Stop records that a connection no longer works for a team.
func (queue *Queue[T]) Stop(name spool.Team, now spool.Instant) {
	team := queue.team(name, now)
	team.charge(now)
	team.running = max(0, team.running-1)
}

// divide determines which teams are within their max-min fair share of the connections in use.
func (queue *Queue[T]) divide(now spool.Instant) {
	total, waiting := 0.0, 0
	for _, team := range queue.teams {
		team.charge(now)
		total += team.usage
		if team.waiting > 0 {
			waiting++
		}
	}
	if waiting == 0 {
		return
	}
	share := total / float64(max(1, len(queue.teams)))
	for range shareRounds {
		remaining, above := total, 0
		for _, team := range queue.teams {
			if team.waiting == 0 && team.usage <= share {
				remaining -= team.usage
				continue
			}
			above++
		}
		raised := remaining / float64(max(1, above))
		if raised <= share*(1+minUsage) {
			break
		}
		share = raised
	}
	queue.inUse = total
	queue.allowed = share*shareTolerance + holdTolerance*min(queue.MeanHold(), maxToleratedHold).Seconds()/usageWindow.Seconds()
	for _, team := range queue.teams {
		team.within = team.usage <= queue.allowed
	}
}

// untilWithin returns how many items are expected to be served before a team that is beyond its share and served nothing is
// within it again.
func (queue *Queue[T]) untilWithin(team *team) int {
	if team.within || queue.allowed <= 0 {
		return 0
	}
	seconds := usageWindow.Seconds() * math.Log(team.usage/queue.allowed)
	return int(math.Ceil(seconds * queue.inUse / queue.MeanHold().Seconds()))
}

// Held records for how long a connection was held, from its grant to its release.
func (queue *Queue[T]) Held(hold time.Duration) {
	queue.holdTime = queue.holdTime*holdDecay + hold.Seconds()
	queue.holds = queue.holds*holdDecay + 1
}

// MeanHold returns the mean time for which a connection is held.
func (queue *Queue[T]) MeanHold() time.Duration {
	if queue.holds == 0 {
		return defaultHold
	}
	return time.Duration(queue.holdTime / queue.holds * float64(time.Second))
}
