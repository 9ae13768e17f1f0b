package super

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

const (
	lookPeriod  = 150 * time.Millisecond  // between looks at each group
	idleProbe   = 250 * time.Millisecond  // a primary that nobody reached for so long is probed; five times a round trip
	statusWait  = 500 * time.Millisecond  // for a server's status: a round trip and the work before it in its queue
	settleTime  = 1500 * time.Millisecond // after an accepted order until the server must act as primary; promotes take 1 s at most
	retryAfter  = 300 * time.Millisecond  // after an attempt that ended without an order
	orderWithin = 800 * time.Millisecond  // of taking a fencing token; later the situation may be another holder's
	stallRest   = 10 * time.Second        // after a replacement before a primary is replaced because it completes no commits
	turnWait    = 1300 * time.Millisecond // after another holder's turn: its order and the promotion that follows are done by then
)

// Fleet is what the warden asks the other proxies.
type Fleet interface {
	// Supervises tells if this proxy looks after a group whose primary is in a failure domain.
	Supervises(group spool.Group, primary spool.Domain) bool
	// Canvass asks all proxies if they reach a server as primary, or any if none is named.
	PollPrimary(group spool.Group, primary spool.Server) elect.PeerPoll
	// CanvassCommits asks all proxies what became of the commits that they sent to a primary.
	PollCommits(group spool.Group, primary spool.Server) elect.PeerPoll
	// Settled tells if the registry shows all servers that run: the store has answered for a while.
	RegistryComplete() bool
	// Operator returns the team that connections of the proxy itself name.
	Operator() spool.Team
}

// Supervisor looks after the groups that this proxy supervises.
type Supervisor struct {
	vm       spool.VM
	pool     *pool.Pool
	linker   spool.ServerDialer
	tokens   *FencingTokens
	promoter spool.Promoter
	fleet    Fleet
	timers   spool.Timers
	logger   *zap.Logger

	mutex  sync.Mutex
	states map[spool.Group]*state
}

// state is what the warden remembers of a group.
type state struct {
	busy    bool
	failed  spool.Instant // when the newest probe of the primary failed; zero if it succeeded
	next    spool.Instant // no look before
	paused  map[spool.Server]bool
	primary spool.Server   // that the newest probe asked
	asked   spool.Instant  // when the other proxies were last asked about commits
	canvass elect.PeerPoll // what the other proxies said of the silent primary
	ordered spool.Instant  // when a replacement was last ordered; zero if none was
}

// New returns a warden; the tokens come from the store.
func New(
	vm spool.VM, pool *pool.Pool, linker spool.ServerDialer, tokens *FencingTokens, promoter spool.Promoter, fleet Fleet,
	timers spool.Timers, logger *zap.Logger,
) *Supervisor {
	return &Supervisor{
		vm: vm, pool: pool, linker: linker, tokens: tokens, promoter: promoter, fleet: fleet,
		timers: timers, logger: logger, states: map[spool.Group]*state{},
	}
}

// Run looks after groups until the context ends.
func (warden *Supervisor) Run(ctx context.Context) {
	stop := warden.timers.Every(lookPeriod, spool.TimerFunc(func(now spool.Instant) { warden.look(ctx, now) }))
	<-ctx.Done()
	stop()
}

func (warden *Supervisor) look(ctx context.Context, now spool.Instant) {
	for _, group := range warden.pool.Groups() {
		_, domain := warden.pool.Primary(group)
		if !warden.fleet.Supervises(group, domain) {
			continue
		}
		state := warden.claim(group, now)
		if state == nil {
			continue
		}
		go func() {
			warden.tend(ctx, group, state)
			warden.mutex.Lock()
			state.busy = false
			warden.mutex.Unlock()
		}()
	}
}

// claim returns the state of a group that nobody works on and that is due.
func (warden *Supervisor) claim(group spool.Group, now spool.Instant) *state {
	warden.mutex.Lock()
	defer warden.mutex.Unlock()
	known := warden.states[group]
	if known == nil {
		known = &state{paused: map[spool.Server]bool{}}
		warden.states[group] = known
	}
	if known.busy || now < known.next {
		return nil
	}
	known.busy = true
	return known
}

// tend looks at one group and replaces its primary if it has to.
func (warden *Supervisor) tend(ctx context.Context, group spool.Group, state *state) {
	view := warden.pool.View(group)
	if len(view.Servers) == 0 {
		return
	}
	now := warden.timers.Now()
	primary := find(view, view.Primary)
	switch {
	case primary == nil:
		warden.replaceMissing(ctx, view, state)
	case primary.Leaving:
		warden.hand(ctx, view, state)
	default:
		warden.check(ctx, view, state, now)
	}
}

func find(view pool.GroupView, server spool.Server) *pool.ServerView {
	for i := range view.Servers {
		if view.Servers[i].Server == server {
			return &view.Servers[i]
		}
	}
	return nil
}

// check probes a primary that nobody reached lately and replaces it if it is dead.
func (warden *Supervisor) check(ctx context.Context, view pool.GroupView, state *state, now spool.Instant) {
	contact := view.LastContact
	if state.primary != view.Primary {
		state.primary, state.failed = view.Primary, 0
	}
	if now.Sub(contact) < idleProbe && state.failed <= contact {
		warden.checkCommits(ctx, view, state)
		return
	}
	err := warden.pool.ProbePrimary(view.Group, view.Primary, warden.fleet.Operator())
	switch elect.ClassifyProbe(err) {
	case elect.ActsAsPrimary, elect.Overloaded:
		state.failed = 0
		warden.checkCommits(ctx, view, state)
		return
	case elect.NotPrimary:
		state.failed = 0 // the next look finds no primary
		return
	}
	if state.failed == 0 {
		state.failed = warden.timers.Now()
		event.Log(warden.logger, event.PrimaryNotAnswering, zap.String("Group", string(view.Group)),
			zap.String("Server", string(view.Primary)), zap.Duration("SinceContact", state.failed.Sub(contact)),
			event.Cause(err))
	}
	if warden.confirmed(view, state, view.Primary) {
		warden.replace(ctx, view, state)
	} else if state.canvass.Reached > 0 {
		warden.checkCommits(ctx, view, state)
	}
}

// checkCommits replaces a primary that begins transactions and completes none, as one does that is cut off its replicas.
// Replicas that receive nothing have the same effect, so a replacement that did not help is not repeated for a while.
func (warden *Supervisor) checkCommits(ctx context.Context, view pool.GroupView, state *state) {
	now := warden.timers.Now()
	own := warden.pool.CommitStats(view.Group)
	rested := state.ordered == 0 || now.Sub(state.ordered) > stallRest
	if !rested || own.Unanswered == 0 && state.canvass.Commits.Unanswered == 0 || now < state.asked.Add(retryAfter) {
		warden.resume(view, state)
		return
	}
	state.asked = now
	canvass := warden.fleet.PollCommits(view.Group, view.Primary)
	state.canvass = canvass
	stall := canvass.Commits.IsStalled()
	event.Log(warden.logger, event.PeersPolledAboutCommits, zap.String("Group", string(view.Group)),
		zap.String("Server", string(view.Primary)), zap.Int("Asked", canvass.Asked),
		zap.Int("Unanswered", canvass.Commits.Unanswered), zap.Duration("SinceUnanswered", canvass.Commits.SinceFirst),
		zap.Duration("SinceAnswered", canvass.Commits.SinceAnswer), zap.Bool("Stall", stall))
	if !stall {
		warden.resume(view, state)
		return
	}
	warden.replace(ctx, view, state)
}

// confirmed asks the other proxies and tells if the primary is to be replaced.
func (warden *Supervisor) confirmed(view pool.GroupView, state *state, primary spool.Server) bool {
	canvass := warden.fleet.PollPrimary(view.Group, primary)
	state.canvass = canvass
	dead := canvass.ConfirmsFailure()
	event.Log(warden.logger, event.PeersPolledAboutPrimary, zap.String("Group", string(view.Group)),
		zap.String("Server", string(primary)), zap.Int("Asked", canvass.Asked), zap.Int("Reached", canvass.Reached),
		zap.Int("Unreached", canvass.Unreached), zap.Bool("Complete", canvass.Complete), zap.Bool("Dead", dead))
	if !dead {
		warden.retryLater(state)
	}
	return dead
}

// replaceMissing acts when no registered server is known to be the primary.
func (warden *Supervisor) replaceMissing(ctx context.Context, view pool.GroupView, state *state) {
	for _, server := range view.Servers {
		err := warden.pool.ProbePrimary(view.Group, server.Server, warden.fleet.Operator())
		switch elect.ClassifyProbe(err) {
		case elect.ActsAsPrimary:
			state.failed = 0
			return
		case elect.Overloaded:
			warden.retryLater(state)
			return
		}
	}
	if state.failed == 0 || state.primary != "" {
		state.primary, state.failed = "", warden.timers.Now()
		warden.retryLater(state)
		return
	}
	if warden.confirmed(view, state, "") {
		warden.replace(ctx, view, state)
	}
}
