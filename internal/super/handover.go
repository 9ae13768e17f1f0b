package super

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// primaryTimeout limits a query to the primary that is replaced: a round trip between regions and a handshake.
const primaryTimeout = 150 * time.Millisecond

// refreshTimeout limits the read of the registered servers; a store fifty times slower than usual answers within 200 ms.
const refreshTimeout = 300 * time.Millisecond

// promotionTime is the longest time from a request until the promotion takes effect.
const promotionTime = time.Second

// pausePeriod is the time between the rounds in which a promotion that was requested stays secured.
const pausePeriod = 100 * time.Millisecond

// handover is one attempt to promote a chosen server. It carries out the steps that elect.Handover decides.
type handover struct {
	*Supervisor
	view      pool.GroupView // as of when the server was chosen
	state     *groupState
	cause     elect.Cause
	chosen    spool.Server
	token     acquiredToken
	pauseTerm spool.Term

	before      *spool.LogPosition // that the primary told in the newest round; nil if there was none or it did not answer
	acked       spool.LogPosition  // newest position that any proxy has acknowledged, as far as known
	ackedBound  spool.LogPosition  // at or above every commit that any proxy acknowledges while closed
	closed      bool               // some proxy may have been asked to close commits
	listed      bool               // the registered proxies were read from the store since the token was stored
	members     uint64             // state of the membership then
	asked       uint64             // state of the membership when the commits were closed
	closedUntil spool.Instant      // until then no proxy acknowledges commits that the chosen server lacks; zero if some may
}

// replacePrimary chooses a server and promotes it if no acknowledged commit can be lost. It acts only within maxTokenAge of a
// token; after a token of another holder it first waits until that holder's promotion is complete.
func (supervisor *Supervisor) replacePrimary(ctx context.Context, view pool.GroupView, state *groupState, cause elect.Cause) {
	selection := supervisor.selectServer(view, state, cause)
	if selection.chosen == "" {
		supervisor.scheduleRetry(state)
		return
	}
	token, recent, err := supervisor.acquireToken(ctx, selection, view, state, cause)
	if err == nil && recent {
		supervisor.awaitOtherHolder(ctx, view, state, selection)
		selection = supervisor.selectServer(view, state, cause)
		token, recent, err = supervisor.acquireToken(ctx, selection, view, state, cause, WithRenewal(token.value))
	}
	if errors.Is(err, errTokenSuperseded) {
		state.nextCheck = supervisor.timers.Now().Add(otherHolderWait) // the other holder acts meanwhile
		return
	}
	if err != nil || recent || selection.chosen == "" || supervisor.tooLateToSwitchOver(view, cause) {
		supervisor.resumeOwn(ctx, view.Group, state)
		supervisor.scheduleRetry(state)
		return
	}
	handover := supervisor.newHandover(view, state, cause, selection)
	handover.token = token
	if cause == elect.CauseEvacuated && state.poll.Complete {
		handover.closedUntil, handover.ackedBound = math.MaxInt64, state.poll.AckedBound
	}
	handover.resumeChosen(selection)
	if handover.secure(ctx) != elect.StepPromote {
		handover.openCommits()
		handover.resumeOwn(ctx)
		supervisor.scheduleRetry(state)
		return
	}
	handover.requestPromotion(ctx)
}

// newHandover returns a handover to the chosen server, without a token yet.
func (supervisor *Supervisor) newHandover(
	view pool.GroupView, state *groupState, cause elect.Cause, selection *selection,
) *handover {
	return &handover{
		Supervisor: supervisor, view: view, state: state, cause: cause, chosen: selection.chosen,
		pauseTerm: selection.term + 1, acked: selection.acked,
	}
}

// awaitOtherHolder waits until what another holder of the token requested has taken effect. If that promotes the chosen server,
// the other replicas are paused meanwhile, unless an evacuation limits how long they may be.
func (supervisor *Supervisor) awaitOtherHolder(
	ctx context.Context, view pool.GroupView, state *groupState, selection *selection,
) {
	evacuated := slices.ContainsFunc(view.Servers, func(server pool.ServerView) bool { return server.Evacuated })
	if selection.chosen != "" && selection.chosen == supervisor.preferredServer(view, state) && !evacuated {
		stop, rounds := supervisor.newHandover(view, state, elect.CauseOrdered, selection).keepSecure(ctx)
		defer rounds.Wait()
		defer stop()
	}
	time.Sleep(otherHolderWait)
}

// resumeChosen resumes the chosen server if a supervisor that ended midway left it paused, so that it receives what the others do. One
// that is paused for a later term is left to the supervisor that knows of that term.
func (handover *handover) resumeChosen(selection *selection) {
	for _, candidate := range selection.candidates {
		held := candidate.Status.PausedTerm
		if candidate.Server == handover.chosen && held != 0 && held <= handover.pauseTerm {
			handover.resume(handover.view.Group, handover.chosen)
		}
	}
}

// resumeOwn resumes what this supervisor has paused. While the token is usable no other holder acts.
func (handover *handover) resumeOwn(ctx context.Context) {
	if handover.tokenUsable() {
		handover.resumeReplicas(handover.view.Group, handover.state, 0, func() bool { return true })
		return
	}
	handover.Supervisor.resumeOwn(ctx, handover.view.Group, handover.state)
}

// secure asks the servers until the promotion may be requested or the handover is given up, and returns that step.
func (handover *handover) secure(ctx context.Context) elect.Step {
	deadline := handover.timers.Now().Add(catchUpTimeout)
	if handover.cause != elect.CausePlanned {
		handover.closeCommits()
	}
	for {
		known := handover.ask(ctx)
		step, decision := known.Next()
		handover.before = known.PrimaryPosition()
		late := handover.timers.Now() > deadline
		if step == elect.StepWait && decision.EndsWithClosure() && handover.closeCommits() {
			continue
		}
		if step == elect.StepWait && !late {
			time.Sleep(checkPeriod / 5)
			continue
		}
		handover.logStep(&known, step, decision)
		if step == elect.StepWait && decision.IsChosenBehind() {
			handover.state.notReceiving = handover.chosen // pausing the others makes no difference; its order stays out
		}
		return step
	}
}

// ask reads the registered servers, pauses the replicas, queries the others and returns what is known of the group then.
func (handover *handover) ask(ctx context.Context) elect.Handover {
	refreshing, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	listing := handover.listMembers(refreshing)
	registryRead := handover.fleet.RefreshRegistry(refreshing) == nil && handover.fleet.RegistryComplete()
	view := handover.pool.View(handover.view.Group)
	<-listing
	evacuated := handover.cause == elect.CauseEvacuated // so that no proxy sends the primary commits, new ones included
	if !evacuated && handover.listed && handover.asked < handover.members {
		handover.closedUntil = 0 // a proxy that was not known then may acknowledge commits
	}
	return elect.Handover{
		Cause: handover.cause, Primary: handover.view.Primary, Chosen: handover.chosen, PauseTerm: handover.pauseTerm,
		SyncReplicas: view.SyncReplicas, Reports: handover.askServers(view), RegistryRead: registryRead, Before: handover.before,
		Acked: handover.acked, AckedBound: handover.ackedBound,
		CommitsClosed: handover.listed && handover.closedUntil >= handover.timers.Now().Add(promotionTime),
		TokenUsable:   handover.tokenUsable(),
	}
}

// listMembers reads the registered proxies once after the token was stored. A proxy that registers later reads the stored token before
// it acknowledges commits; one that had registered before and was not known is asked to close them.
func (handover *handover) listMembers(ctx context.Context) (done <-chan struct{}) {
	ended := make(chan struct{})
	if handover.listed {
		close(ended)
		return ended
	}
	go func() {
		defer close(ended)
		members, err := handover.fleet.RefreshMembers(ctx)
		handover.listed, handover.members = err == nil, members
	}()
	return ended
}

// closeCommits has all proxies acknowledge no commits that the chosen server lacks, once, and reports whether all of them were told.
func (handover *handover) closeCommits() bool {
	if handover.cause == elect.CauseEvacuated || handover.closedUntil != 0 {
		return false
	}
	began := handover.timers.Now()
	poll := handover.requestClosure()
	handover.acked = handover.acked.Max(poll.Acked)
	if !poll.Complete || handover.cause == elect.CauseUnreachable && poll.Reached > 0 {
		return false
	}
	handover.closedUntil, handover.ackedBound, handover.asked = began.Add(elect.OrderTTL), poll.AckedBound, poll.Members
	return true
}

func (handover *handover) requestClosure() elect.PeerPoll {
	handover.closed = true
	return handover.fleet.CloseCommits(handover.view.Group, elect.Closure{
		Chosen: handover.chosen, Primary: handover.view.Primary, Term: handover.pauseTerm - 1, Token: handover.token.value,
		MaySend: handover.cause.PrimaryWorks(), Orders: handover.token.orders, Partial: handover.tokens.MayLackOrders(),
	})
}

// extendClosure keeps commits closed while a request without an answer may be carried out.
func (handover *handover) extendClosure() {
	began := handover.timers.Now()
	if handover.requestClosure().Complete {
		handover.closedUntil = began.Add(elect.OrderTTL)
	}
}

// order returns the request of the handover's promotion.
func (handover *handover) order() elect.Order {
	return elect.Order{
		Server: handover.chosen, Term: handover.pauseTerm - 1, Token: handover.token.value, Leads: handover.chosen == handover.view.Primary,
	}
}

// openCommits ends the closure, if there is one, of a promotion that is not requested, or was refused.
func (handover *handover) openCommits() {
	handover.pool.OpenCommits(handover.view.Group, handover.token.value)
	if handover.closed {
		go handover.fleet.OpenCommits(handover.view.Group, handover.token.value) // it waits for the answers of all proxies
	}
}

// keepSecure keeps commits closed until it is stopped. While replicas are paused it repeats the round, so that servers which join or
// restart before the promotion takes effect are paused as well.
func (handover *handover) keepSecure(ctx context.Context) (stop func(), rounds *sync.WaitGroup) {
	asking, cancel := context.WithCancel(ctx)
	rounds = &sync.WaitGroup{}
	rounds.Go(func() {
		for {
			select {
			case <-asking.Done():
				return
			case <-time.After(pausePeriod):
				if handover.cause.PausesReplicas() {
					handover.ask(asking)
				}
				if handover.closedUntil != 0 && handover.closedUntil < handover.timers.Now().Add(promotionTimeout) {
					handover.extendClosure()
				}
			}
		}
	})
	return cancel, rounds
}

// askServers returns what all servers of a view answered. While the primary is replaced because it does not work, all but the primary and
// the chosen one are paused; a repeated PAUSE shows that a replica is still paused, or pauses it again after a restart.
func (handover *handover) askServers(view pool.GroupView) []elect.ServerReport {
	reports := make([]elect.ServerReport, len(view.Servers))
	var asking sync.WaitGroup
	for i, server := range view.Servers {
		asking.Go(func() {
			command, timeout := spool.Command{Verb: spool.VerbPause, Term: handover.pauseTerm}, statusTimeout
			if server.Server == handover.chosen || !handover.cause.PausesReplicas() {
				command = spool.Command{Verb: spool.VerbStatus}
			}
			if server.Server == handover.view.Primary {
				command, timeout = spool.Command{Verb: spool.VerbStatus}, primaryTimeout
			}
			status, err := handover.sendCommand(view.Group, server.Server, timeout, command)
			reports[i] = elect.ServerReport{Server: server.Server, Answered: err == nil, Status: status, Evacuated: server.Evacuated}
			if command.Verb == spool.VerbPause && handover.setPaused(handover.state, server.Server, handover.pauseTerm) {
				event.Log(handover.logger, event.ReplicaPaused, zap.String("Group", string(view.Group)),
					zap.String("Server", string(server.Server)), zap.Uint64("Term", uint64(handover.pauseTerm)),
					zap.Uint64("Held", uint64(status.PausedTerm)), event.Cause(err))
			}
		})
	}
	asking.Wait()
	return reports
}

// tokenUsable reports whether the fencing token is young enough and of the store's present era.
func (handover *handover) tokenUsable() bool {
	return handover.timers.Now().Sub(handover.token.acquiredAt) <= maxTokenAge && handover.tokens.IsCurrent(handover.token.value)
}

// logStep logs the end of a handover's first part.
func (handover *handover) logStep(known *elect.Handover, step elect.Step, decision elect.Decision) {
	fields := []zap.Field{
		zap.String("Group", string(handover.view.Group)), zap.String("Server", string(handover.chosen)),
		zap.String("Replaced", string(handover.view.Primary)), zap.Bool("Promote", step == elect.StepPromote),
		zap.String("Verdict", string(decision)), zap.Uint64("Term", uint64(handover.pauseTerm)),
		zap.Bool("RegistryRead", known.RegistryRead), zap.Bool("CommitsClosed", known.CommitsClosed),
		zap.Stringer("Acknowledged", known.Acked), zap.Bool("MembersRead", handover.listed),
		zap.Duration("TokenAge", handover.timers.Now().Sub(handover.token.acquiredAt)),
	}
	for _, report := range known.Reports {
		fields = append(fields, zap.String("Server/"+string(report.Server), reportText(report)))
	}
	event.Log(handover.logger, event.HandoverDecided, fields...)
}
