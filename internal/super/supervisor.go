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
	drainPeriod      = 20 * time.Millisecond   // between checks for handovers in progress
	checkPeriod      = 150 * time.Millisecond  // between checks of each group
	probeAfterIdle   = 250 * time.Millisecond  // time without contact after which a primary is probed; five round trips
	statusTimeout    = 500 * time.Millisecond  // of a status query: a round trip and the queued work ahead of it
	promotionTimeout = 1500 * time.Millisecond // from an accepted request to acting as primary; promotions take at most 1 s
	retryDelay       = 300 * time.Millisecond  // after an attempt that ended without a promotion request
	maxTokenAge      = 800 * time.Millisecond  // of a fencing token at the request; later another holder may have acted
	stallCooldown    = 10 * time.Second        // from a promotion request to the next failover because of stalled commits
	otherHolderWait  = 2 * time.Second         // after another holder's token: its request and promotion are complete by then
)

// Fleet is the supervisor's access to the other proxies and the registry.
type Fleet interface {
	// Supervises reports whether this proxy supervises a group whose primary is in a failure domain.
	Supervises(group spool.Group, primary spool.Domain) bool
	// PollPrimary asks the other proxies whether they reach a server as primary, or any server if none is named.
	PollPrimary(group spool.Group, primary spool.Server) elect.PeerPoll
	// PollCommits asks all proxies for the outcomes of the commits that they sent to a primary.
	PollCommits(group spool.Group, primary spool.Server) elect.PeerPoll
	// CloseCommits asks all registered proxies, this one included, to acknowledge no commit that a closure covers for
	// elect.OrderTTL.
	CloseCommits(group spool.Group, closure elect.Closure) elect.PeerPoll
	// OpenCommits ends the closure of a token at all proxies that are reached.
	OpenCommits(group spool.Group, token uint64)
	// SettleOrders ends the closures up to a token, none of whose promotions is carried out any more, at all proxies that are reached.
	SettleOrders(group spool.Group, token uint64)
	// RefreshMembers reads the registered proxies from the store, and returns the state of the membership, which increases with each
	// proxy that is added.
	RefreshMembers(ctx context.Context) (members uint64, err error)
	// RefreshRegistry reads the registered servers from the store and applies them to the pool; it fails if the store does not
	// answer before the context ends.
	RefreshRegistry(ctx context.Context) error
	// RegistryComplete reports whether the store has answered for long enough that the registry lists all running servers.
	RegistryComplete() bool
	// Operator returns the team of the proxy's own connections.
	Operator() spool.Team
}

// Supervisor checks the primaries of the groups that this proxy supervises and replaces them if necessary.
type Supervisor struct {
	vm       spool.VM
	pool     *pool.Pool
	dialer   spool.ServerDialer
	tokens   *FencingTokens
	promoter spool.Promoter
	fleet    Fleet
	timers   spool.Timers
	logger   *zap.Logger

	mutex  sync.Mutex
	states map[spool.Group]*groupState
}

// groupState is the supervisor's state of a group.
type groupState struct {
	busy                 bool
	checkedAt            spool.Instant               // when the newest check ended
	takenOver            bool                        // it is known what an earlier supervisor left behind
	nextTakeover         spool.Instant               // earliest time of the next attempt to find out
	probeFailedAt        spool.Instant               // first failed probe of the primary since it last answered; zero if none failed
	nextCheck            spool.Instant               // earliest time of the next check
	paused               map[spool.Server]spool.Term // replicas that may be paused, with the term for which they are
	probedPrimary        spool.Server                // target of the newest probe
	commitsPolledAt      spool.Instant               // when the other proxies were last polled about commits
	poll                 elect.PeerPoll              // newest answers of the other proxies about the primary
	promotionRequestedAt spool.Instant               // newest promotion request; zero if there was none
	notReceiving         spool.Server                // named by a pending order, but it receives nothing
}

// New returns a supervisor that takes its fencing tokens from fencingTokens.
func New(
	vm spool.VM, pool *pool.Pool, dialer spool.ServerDialer, fencingTokens *FencingTokens, promoter spool.Promoter, fleet Fleet,
	timers spool.Timers, logger *zap.Logger,
) *Supervisor {
	return &Supervisor{
		vm: vm, pool: pool, dialer: dialer, tokens: fencingTokens, promoter: promoter, fleet: fleet,
		timers: timers, logger: logger, states: map[spool.Group]*groupState{},
	}
}

// Run checks the supervised groups periodically until the context ends.
func (supervisor *Supervisor) Run(ctx context.Context) {
	stop := supervisor.timers.Every(checkPeriod, spool.TimerFunc(func(now spool.Instant) { supervisor.checkGroups(ctx, now) }))
	<-ctx.Done()
	stop()
}

// Drain waits until no group is checked, so that no handover ends midway and leaves replicas paused, or until the context ends. This
// proxy must not supervise any group by then.
func (supervisor *Supervisor) Drain(ctx context.Context) {
	for supervisor.isChecking() && ctx.Err() == nil {
		time.Sleep(drainPeriod)
	}
}

func (supervisor *Supervisor) isChecking() bool {
	supervisor.mutex.Lock()
	defer supervisor.mutex.Unlock()
	for _, state := range supervisor.states {
		if state.busy {
			return true
		}
	}
	return false
}

func (supervisor *Supervisor) checkGroups(ctx context.Context, now spool.Instant) {
	for _, group := range supervisor.pool.Groups() {
		_, domain := supervisor.pool.Primary(group)
		if !supervisor.fleet.Supervises(group, domain) {
			continue
		}
		state := supervisor.claimGroup(group, now)
		if state == nil {
			continue
		}
		go func() {
			supervisor.checkGroup(ctx, group, state)
			supervisor.mutex.Lock()
			state.busy, state.checkedAt = false, supervisor.timers.Now()
			supervisor.mutex.Unlock()
		}()
	}
}

// claimGroup returns the state of a group, marked as busy, or nil if the group is busy or not due yet.
func (supervisor *Supervisor) claimGroup(group spool.Group, now spool.Instant) *groupState {
	supervisor.mutex.Lock()
	defer supervisor.mutex.Unlock()
	known := supervisor.states[group]
	if known == nil {
		known = &groupState{paused: map[spool.Server]spool.Term{}}
		supervisor.states[group] = known
	}
	if known.busy || now < known.nextCheck {
		return nil
	}
	known.busy = true
	known.takenOver = known.takenOver && now.Sub(known.checkedAt) < takeoverAfter
	return known
}

// checkGroup checks one group and replaces its primary if necessary.
func (supervisor *Supervisor) checkGroup(ctx context.Context, group spool.Group, state *groupState) {
	view := supervisor.pool.View(group)
	if len(view.Servers) == 0 {
		return
	}
	now := supervisor.timers.Now()
	primary := findServer(view, view.Primary)
	switch {
	case primary == nil:
		supervisor.handleMissingPrimary(ctx, view, state)
	case primary.Evacuated:
		supervisor.replaceEvacuated(ctx, view, state, primary)
	case primary.Retired:
		state.poll = supervisor.fleet.PollCommits(view.Group, view.Primary)
		supervisor.replacePrimary(ctx, view, state, elect.CauseRetired)
	case primary.Leaving:
		supervisor.replacePrimary(ctx, view, state, elect.CausePlanned)
	default:
		supervisor.checkPrimary(ctx, view, state, now)
	}
}

func findServer(view pool.GroupView, server spool.Server) *pool.ServerView {
	for i := range view.Servers {
		if view.Servers[i].Server == server {
			return &view.Servers[i]
		}
	}
	return nil
}

// checkPrimary probes a primary without recent contact and replaces it if the other proxies confirm its failure.
func (supervisor *Supervisor) checkPrimary(ctx context.Context, view pool.GroupView, state *groupState, now spool.Instant) {
	contact := view.LastContact
	if state.probedPrimary != view.Primary {
		state.probedPrimary, state.probeFailedAt = view.Primary, 0
	}
	if now.Sub(contact) < probeAfterIdle && state.probeFailedAt <= contact {
		supervisor.checkCommits(ctx, view, state)
		return
	}
	err := supervisor.pool.ProbePrimary(view.Group, view.Primary, supervisor.fleet.Operator())
	switch elect.ClassifyProbe(err) {
	case elect.ActsAsPrimary, elect.Overloaded:
		state.probeFailedAt = 0
		supervisor.checkCommits(ctx, view, state)
		return
	case elect.NotPrimary:
		state.probeFailedAt = 0 // the next check finds no primary
		return
	}
	if state.probeFailedAt == 0 {
		state.probeFailedAt = supervisor.timers.Now()
		event.Log(supervisor.logger, event.PrimaryNotAnswering, zap.String("Group", string(view.Group)),
			zap.String("Server", string(view.Primary)), zap.Duration("SinceContact", state.probeFailedAt.Sub(contact)),
			event.Cause(err))
	}
	if supervisor.confirmFailure(view, state, view.Primary) {
		supervisor.replacePrimary(ctx, view, state, elect.CauseUnreachable)
	} else if state.poll.Reached > 0 {
		supervisor.checkCommits(ctx, view, state)
	}
}

// checkCommits replaces a primary that begins transactions but completes none, for example because it is partitioned from
// its replicas. Replicas that do not receive have the same effect, so a failover that did not help is not repeated within
// stallCooldown.
func (supervisor *Supervisor) checkCommits(ctx context.Context, view pool.GroupView, state *groupState) {
	now := supervisor.timers.Now()
	own := supervisor.pool.CommitStats(view.Group, view.Primary)
	cooledDown := state.promotionRequestedAt == 0 || now.Sub(state.promotionRequestedAt) > stallCooldown
	if !cooledDown || own.Unanswered == 0 && state.poll.Commits.Unanswered == 0 || now < state.commitsPolledAt.Add(retryDelay) {
		supervisor.settle(ctx, view, state)
		return
	}
	state.commitsPolledAt = now
	poll := supervisor.fleet.PollCommits(view.Group, view.Primary)
	state.poll = poll
	stalled := poll.Commits.IsStalled()
	event.Log(supervisor.logger, event.PeersPolledAboutCommits, zap.String("Group", string(view.Group)),
		zap.String("Server", string(view.Primary)), zap.Int("Asked", poll.Asked),
		zap.Int("Unanswered", poll.Commits.Unanswered), zap.Duration("SinceUnanswered", poll.Commits.SinceFirst),
		zap.Duration("SinceAnswered", poll.Commits.SinceAnswer), zap.Bool("Stall", stalled))
	if !stalled {
		supervisor.settle(ctx, view, state)
		return
	}
	supervisor.replacePrimary(ctx, view, state, elect.CauseStalled)
}

// confirmFailure polls the other proxies and reports whether the primary is to be replaced.
func (supervisor *Supervisor) confirmFailure(view pool.GroupView, state *groupState, primary spool.Server) bool {
	poll := supervisor.fleet.PollPrimary(view.Group, primary)
	state.poll = poll
	failed := poll.ConfirmsFailure()
	event.Log(supervisor.logger, event.PeersPolledAboutPrimary, zap.String("Group", string(view.Group)),
		zap.String("Server", string(primary)), zap.Int("Asked", poll.Asked), zap.Int("Reached", poll.Reached),
		zap.Int("Unreached", poll.Unreached), zap.Bool("Complete", poll.Complete), zap.Bool("Dead", failed))
	if !failed {
		supervisor.scheduleRetry(state)
	}
	return failed
}

// handleMissingPrimary searches for the primary if none is known and starts a failover if no registered server acts as one.
func (supervisor *Supervisor) handleMissingPrimary(ctx context.Context, view pool.GroupView, state *groupState) {
	for _, server := range view.Servers {
		err := supervisor.pool.ProbePrimary(view.Group, server.Server, supervisor.fleet.Operator())
		switch elect.ClassifyProbe(err) {
		case elect.ActsAsPrimary:
			state.probeFailedAt = 0
			return
		case elect.Overloaded:
			supervisor.scheduleRetry(state)
			return
		}
	}
	if state.probeFailedAt == 0 || state.probedPrimary != "" {
		state.probedPrimary, state.probeFailedAt = "", supervisor.timers.Now()
		supervisor.scheduleRetry(state)
		return
	}
	if supervisor.confirmFailure(view, state, "") {
		supervisor.replacePrimary(ctx, view, state, elect.CauseUnreachable)
	}
}
