package super

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// catchUpTimeout limits the time that a candidate takes to catch up with the paused replicas; it covers the replication lag.
const catchUpTimeout = 400 * time.Millisecond

// nearRTT is the limit of round-trip times within a region; a server below it counts as near.
const nearRTT = 10 * time.Millisecond

// selection is what the replicas of a group answered and the server that was chosen among them.
type selection struct {
	candidates []elect.Candidate
	term       spool.Term // newest term that any of them knows
	acked      spool.LogPosition
	chosen     spool.Server // empty if there is none
}

// selectServer queries the replicas and chooses the server to promote.
func (supervisor *Supervisor) selectServer(view pool.GroupView, state *groupState, cause elect.Cause) *selection {
	selection := &selection{candidates: supervisor.queryCandidates(view), term: view.Term, acked: view.AckedPosition}
	for _, candidate := range selection.candidates {
		selection.term = max(selection.term, candidate.Status.Term)
	}
	if cause != elect.CausePlanned {
		selection.acked = selection.acked.Max(state.poll.Acked)
	}
	decision := supervisor.choose(selection, view, state, cause)
	supervisor.logDecision(view, selection.chosen, decision, selection.candidates, selection.acked)
	return selection
}

// choose chooses the server to promote; one that an earlier order may still promote is preferred.
func (supervisor *Supervisor) choose(
	selection *selection, view pool.GroupView, state *groupState, cause elect.Cause,
) (decision elect.Decision) {
	ordered := supervisor.preferredServer(view, state)
	for i := range selection.candidates {
		candidate := &selection.candidates[i]
		candidate.Ordered = candidate.Server == ordered
		if candidate.Responded && candidate.Status.Primary {
			selection.chosen = ""
			return elect.Superseded
		}
	}
	switch cause {
	case elect.CauseConfirmed:
		selection.chosen, decision = view.Primary, elect.Safe
	case elect.CausePlanned, elect.CauseRetired, elect.CauseOrdered:
		mayClose := state.poll.Complete || cause == elect.CausePlanned
		selection.chosen, decision = supervisor.chooseSwitchover(selection.candidates, view.SyncReplicas, mayClose)
	default:
		selection.chosen, decision = elect.ChooseFailover(elect.FailoverState{
			Candidates: selection.candidates, RegistryIncomplete: !supervisor.fleet.RegistryComplete(), SyncReplicas: view.SyncReplicas,
			Acked: selection.acked, AckedBound: state.poll.AckedBound, AckedComplete: state.poll.Complete,
		})
	}
	return decision
}

// chooseSwitchover returns the server that takes over from a working primary, or none: without the answers of the other
// replicas no promotion follows unless the primary's commits can be closed, so that no fencing token is needed.
func (supervisor *Supervisor) chooseSwitchover(
	candidates []elect.Candidate, syncReplicas int, mayClose bool,
) (spool.Server, elect.Decision) {
	chosen, found := elect.ChooseSwitchover(candidates)
	switch {
	case !found:
		return "", elect.NoReplica
	case !mayClose && (!supervisor.fleet.RegistryComplete() || elect.UnreachableReplicas(candidates, syncReplicas)):
		return "", elect.ReplicaUnreachable
	}
	return chosen, elect.Safe
}

// acquiredToken is a fencing token from which maxTokenAge is counted.
type acquiredToken struct {
	value      uint64
	acquiredAt spool.Instant
	orders     []elect.Order // of earlier tokens that may still be carried out
}

// acquireToken acquires a fencing token and stores the chosen server with it. The server that a recent token of another holder
// names is chosen if it can be. Recent is true if that holder may still act, so that this token must not be used: its server is not
// the primary yet. The age counts from before the store was called.
func (supervisor *Supervisor) acquireToken(
	ctx context.Context, selection *selection, view pool.GroupView, state *groupState, cause elect.Cause, options ...TokenOption,
) (token acquiredToken, recent bool, err error) {
	token.acquiredAt = supervisor.timers.Now()
	completed := false
	options = append(options, WithTarget(func(earlier spool.Server) spool.Server {
		completed = earlier != "" && earlier == view.Primary
		if earlier != "" && !completed {
			supervisor.choose(selection, view, state, cause)
		}
		return selection.chosen
	}), WithOrders(func(stored []elect.Order) []elect.Order {
		supervisor.pool.LearnOrders(view.Group, stored)
		token.orders = supervisor.pool.PendingOrders(view.Group)
		return token.orders
	}), WithTerm(selection.term, func(target spool.Server) bool { return target == view.Primary }))
	token.value, recent, err = supervisor.tokens.Next(ctx, view.Group, options...)
	if err != nil {
		event.Log(supervisor.logger, event.PromotionRequestFailed, zap.String("Group", string(view.Group)), event.Cause(err))
	}
	return token, recent && !completed, err
}

// queryCandidates queries the status of all servers except the primary.
func (supervisor *Supervisor) queryCandidates(view pool.GroupView) []elect.Candidate {
	var candidates []elect.Candidate
	var queries sync.WaitGroup
	var mutex sync.Mutex
	for _, server := range view.Servers {
		if server.Server == view.Primary {
			continue
		}
		queries.Go(func() {
			status, err := supervisor.queryStatus(view.Group, server.Server)
			mutex.Lock()
			defer mutex.Unlock()
			candidates = append(candidates, elect.Candidate{
				Server: server.Server, Responded: err == nil, Status: status, Leaving: server.Leaving,
				Near: server.RoundTrip < nearRTT, Evacuated: server.Evacuated, HomeRoutes: server.HomeRoutes, Cold: server.Cold,
			})
		})
	}
	queries.Wait()
	return candidates
}

// sendCommand sends a command to a server, repeats it while the server is busy, and returns the status in the answer.
func (supervisor *Supervisor) sendCommand(
	group spool.Group, server spool.Server, timeout time.Duration, command spool.Command,
) (spool.ReplicaStatus, error) {
	deadline := time.Now().Add(timeout)
	for {
		answers, err := supervisor.pool.Execute(group, server, supervisor.fleet.Operator(), time.Until(deadline), command)
		if err != nil {
			return spool.ReplicaStatus{}, err
		}
		status, err := supervisor.dialer.ParseStatus(answers[0])
		if err == nil || time.Now().After(deadline) {
			return status, err
		}
		var refusal *spool.Refusal
		if !errors.As(err, &refusal) || refusal.Code != spool.CodeNoSlot {
			return status, err
		}
		time.Sleep(checkPeriod / 10)
	}
}

func (supervisor *Supervisor) scheduleRetry(state *groupState) {
	state.nextCheck = supervisor.timers.Now().Add(retryDelay)
}

// requestPromotion requests the promotion and waits until the chosen server acts as primary.
func (handover *handover) requestPromotion(ctx context.Context) {
	group, state := handover.view.Group, handover.state
	state.promotionRequestedAt = handover.timers.Now()
	handover.pool.LearnOrders(group, []elect.Order{handover.order()})
	stop, rounds := handover.keepSecure(ctx)
	defer rounds.Wait()
	defer stop()
	err := handover.promoter.Promote(ctx, spool.Promotion{
		Group: group, Server: handover.chosen, Holder: handover.vm, Token: handover.token.value,
	})
	event.Log(handover.logger, event.PlatformPromotionRequested, zap.String("Group", string(group)),
		zap.String("Server", string(handover.chosen)), zap.String("Replaced", string(handover.view.Primary)),
		zap.Uint64("Token", handover.token.value), event.Cause(err))
	if errors.Is(err, spool.ErrFenced) {
		stop()
		rounds.Wait()
		handover.openCommits()
		handover.scheduleRetry(state) // the holder of the newer token may rely on the replicas being paused
		return
	}
	if handover.cause == elect.CauseConfirmed {
		if err == nil {
			handover.settleOrders()
		}
		return
	}
	if handover.awaitPrimary() {
		handover.recordLead(pool.GroupView{Group: group, Primary: handover.chosen})
		stop() // a round in progress pauses nothing, since the new primary's term is not below its own
		handover.resumeReplicas(group, state, handover.pauseTerm, func() bool { return false })
	}
}

// awaitPrimary waits until the chosen server acts as primary and reports whether it does.
func (handover *handover) awaitPrimary() bool {
	deadline := handover.timers.Now().Add(promotionTimeout)
	for handover.timers.Now() < deadline {
		time.Sleep(checkPeriod / 3)
		if handover.pool.ProbePrimary(handover.view.Group, handover.chosen, handover.fleet.Operator()) == nil {
			handover.state.probeFailedAt = 0
			return true
		}
	}
	event.Log(handover.logger, event.PromotionUnconfirmed, zap.String("Group", string(handover.view.Group)),
		zap.String("Server", string(handover.chosen)))
	return false
}

func (supervisor *Supervisor) logDecision(
	view pool.GroupView, chosen spool.Server, decision elect.Decision, candidates []elect.Candidate, acked spool.LogPosition,
) {
	fields := []zap.Field{
		zap.String("Group", string(view.Group)), zap.String("Chosen", string(chosen)),
		zap.String("Verdict", string(decision)), zap.String("Primary", string(view.Primary)),
		zap.Stringer("Acknowledged", acked),
	}
	for _, candidate := range candidates {
		fields = append(fields, zap.String("Replica/"+string(candidate.Server), candidateText(candidate)))
	}
	event.Log(supervisor.logger, event.CandidatesEvaluated, fields...)
}

// reportText returns what a server said of itself, for logs.
func reportText(report elect.ServerReport) string {
	if !report.Answered {
		return "not reached"
	}
	role := "replica"
	if report.Status.Primary {
		role = "primary"
	}
	return fmt.Sprintf("%s of term %d at %v, paused for term %d", role, report.Status.Term, report.Status.Received, report.Status.PausedTerm)
}

func candidateText(candidate elect.Candidate) string {
	if !candidate.Responded {
		return "not reached"
	}
	return candidate.Status.Received.String()
}
