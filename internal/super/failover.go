package super

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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

// errTokenOfOlderEra means that the store began a new era after the token was acquired.
var errTokenOfOlderEra = errors.New("fencing token not used: the store began a new era")

// failover promotes a replica to replace a failed primary.
func (supervisor *Supervisor) failover(ctx context.Context, view pool.GroupView, state *groupState) {
	if supervisor.chooseCandidate(view, state, "") == "" {
		supervisor.scheduleRetry(state)
		return
	}
	token, ok := supervisor.acquireToken(ctx, view, state)
	if !ok {
		return
	}
	chosen := supervisor.chooseCandidate(view, state, "")
	if chosen == "" || !supervisor.pauseReplicas(view, state, chosen) || supervisor.chooseCandidate(view, state, chosen) != chosen {
		supervisor.resumeReplicas(view, state)
		supervisor.scheduleRetry(state)
		return
	}
	supervisor.requestPromotion(ctx, view, state, chosen, token)
}

// chooseCandidate queries the replicas' positions and returns the candidate to promote, or none; the preferred one wins
// among equals.
func (supervisor *Supervisor) chooseCandidate(view pool.GroupView, state *groupState, preferred spool.Server) spool.Server {
	candidates := supervisor.queryCandidates(view)
	failoverState := elect.FailoverState{
		Candidates: candidates, Preferred: preferred,
		RegistryIncomplete: !supervisor.fleet.RegistryComplete(), SyncReplicas: view.SyncReplicas,
		Acked: state.poll.Acked.Max(view.AckedPosition), AckedComplete: state.poll.Complete,
	}
	chosen, decision := elect.ChooseFailover(failoverState)
	supervisor.logDecision(view, chosen, decision, candidates, failoverState.Acked)
	return chosen
}

// switchover promotes a replica while the leaving primary still works, so that commits are not delayed.
func (supervisor *Supervisor) switchover(ctx context.Context, view pool.GroupView, state *groupState) {
	if !supervisor.fleet.RegistryComplete() {
		supervisor.scheduleRetry(state)
		return
	}
	token, ok := supervisor.acquireToken(ctx, view, state)
	if !ok {
		return
	}
	if supervisor.tooLateToSwitchOver(view) {
		supervisor.scheduleRetry(state)
		return
	}
	candidates := supervisor.queryCandidates(view)
	chosen, found := elect.ChooseSwitchover(candidates)
	decision := elect.Safe
	if !found {
		decision = elect.NoReplica
	}
	supervisor.logDecision(view, chosen, decision, candidates, view.AckedPosition)
	if !found || !evacuatedAnswered(candidates) || !supervisor.pauseReplicas(view, state, chosen) || !supervisor.awaitCatchUp(view, chosen) {
		supervisor.resumeReplicas(view, state)
		supervisor.scheduleRetry(state)
		return
	}
	supervisor.requestPromotion(ctx, view, state, chosen, token)
}

// awaitCatchUp waits until a server has received everything that the paused replicas have, and reports whether it did.
func (supervisor *Supervisor) awaitCatchUp(view pool.GroupView, chosen spool.Server) bool {
	deadline := supervisor.timers.Now().Add(catchUpTimeout)
	for !hasCaughtUp(supervisor.queryCandidates(view), chosen) {
		if supervisor.timers.Now() > deadline {
			return false
		}
		time.Sleep(checkPeriod / 5)
	}
	return true
}

// acquiredToken is a fencing token from which maxTokenAge is counted.
type acquiredToken struct {
	value      uint64
	acquiredAt spool.Instant // or the end of the wait for another holder's promotion
}

// acquireToken acquires a fencing token and reports whether it may be used. If another holder acquired one recently, it
// waits until that holder's promotion is complete; the token may not be used if a replica acts as primary by then.
func (supervisor *Supervisor) acquireToken(ctx context.Context, view pool.GroupView, state *groupState) (acquiredToken, bool) {
	token, recent, err := supervisor.tokens.Next(ctx, view.Group)
	if err != nil {
		event.Log(supervisor.logger, event.PromotionRequestFailed, zap.String("Group", string(view.Group)), event.Cause(err))
		supervisor.scheduleRetry(state)
		return acquiredToken{}, false
	}
	if !recent {
		return acquiredToken{value: token, acquiredAt: supervisor.timers.Now()}, true
	}
	time.Sleep(otherHolderWait)
	for _, server := range view.Servers {
		if server.Server == view.Primary {
			continue
		}
		err := supervisor.pool.ProbePrimary(view.Group, server.Server, supervisor.fleet.Operator())
		if elect.ClassifyProbe(err) == elect.ActsAsPrimary {
			return acquiredToken{}, false
		}
	}
	return acquiredToken{value: token, acquiredAt: supervisor.timers.Now()}, true
}

// hasCaughtUp reports whether a server has received everything that the other replicas have.
func hasCaughtUp(candidates []elect.Candidate, chosen spool.Server) bool {
	if !evacuatedAnswered(candidates) {
		return false
	}
	var own, newest spool.LogPosition
	for _, candidate := range candidates {
		if !candidate.Responded {
			continue
		}
		newest = newest.Max(candidate.Status.Received)
		if candidate.Server == chosen {
			own = candidate.Status.Received
		}
	}
	return !own.IsZero() && !own.Less(newest)
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
			status, err := supervisor.sendCommand(view.Group, server.Server, spool.Command{Verb: spool.VerbStatus})
			if err != nil {
				event.Log(supervisor.logger, event.ServerStatusFailed, zap.String("Group", string(view.Group)),
					zap.String("Server", string(server.Server)), event.Cause(err))
			}
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
	group spool.Group, server spool.Server, command spool.Command,
) (spool.ReplicaStatus, error) {
	deadline := time.Now().Add(statusTimeout)
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

// pauseReplicas pauses replication on all replicas except the chosen one, so that no commit is confirmed without it. It
// reports whether every reachable replica is paused.
func (supervisor *Supervisor) pauseReplicas(view pool.GroupView, state *groupState, chosen spool.Server) bool {
	term := view.Term + 1
	complete := true
	for _, server := range view.Servers {
		if server.Server == chosen || server.Server == view.Primary {
			continue
		}
		state.paused[server.Server] = true
		_, err := supervisor.sendCommand(view.Group, server.Server, spool.Command{Verb: spool.VerbPause, Term: term})
		event.Log(supervisor.logger, event.ReplicaPaused, zap.String("Group", string(view.Group)),
			zap.String("Server", string(server.Server)), zap.Uint64("Term", uint64(term)), event.Cause(err))
		complete = complete && (err == nil || elect.ClassifyProbe(err) == elect.Unreachable)
	}
	return complete
}

// resumeReplicas resumes replication on the paused replicas.
func (supervisor *Supervisor) resumeReplicas(view pool.GroupView, state *groupState) {
	for server := range state.paused {
		if findServer(view, server) == nil {
			delete(state.paused, server)
			continue
		}
		if !supervisor.commandable(view, server) {
			continue // until the evacuation is withdrawn
		}
		_, err := supervisor.sendCommand(view.Group, server, spool.Command{Verb: spool.VerbResume})
		event.Log(supervisor.logger, event.ReplicaResumed, zap.String("Group", string(view.Group)),
			zap.String("Server", string(server)), event.Cause(err))
		if err == nil {
			delete(state.paused, server)
		}
	}
}

func (supervisor *Supervisor) scheduleRetry(state *groupState) {
	state.nextCheck = supervisor.timers.Now().Add(retryDelay)
}

// requestPromotion requests the promotion and waits until the chosen server acts as primary. It does not if a server joined the
// group, the chosen one was evacuated, or the token is older than maxTokenAge or of an older era of the store.
func (supervisor *Supervisor) requestPromotion(
	ctx context.Context, view pool.GroupView, state *groupState, chosen spool.Server, token acquiredToken,
) {
	if !supervisor.noServerJoined(view) || supervisor.evacuatedSince(view, chosen) {
		supervisor.resumeReplicas(view, state)
		return // a new replica confirms commits as well; the next check includes it, or chooses another server
	}
	var err error
	if age := supervisor.timers.Now().Sub(token.acquiredAt); age > maxTokenAge {
		err = eris.Errorf("fencing token too old: acquired %v ago", age)
	} else if !supervisor.tokens.IsCurrent(token.value) {
		err = errTokenOfOlderEra
	} else {
		state.promotionRequestedAt = supervisor.timers.Now()
		err = supervisor.promoter.Promote(ctx, spool.Promotion{
			Group: view.Group, Server: chosen, Holder: supervisor.vm, Token: token.value,
		})
	}
	event.Log(supervisor.logger, event.PlatformPromotionRequested, zap.String("Group", string(view.Group)),
		zap.String("Server", string(chosen)), zap.String("Replaced", string(view.Primary)),
		zap.Uint64("Token", token.value), event.Cause(err))
	if errors.Is(err, spool.ErrFenced) || errors.Is(err, errTokenOfOlderEra) {
		supervisor.resumeReplicas(view, state)
		supervisor.scheduleRetry(state)
		return
	}
	supervisor.awaitPrimary(view, state, chosen)
}

// noServerJoined reports whether no server joined the group since the view was taken.
func (supervisor *Supervisor) noServerJoined(view pool.GroupView) bool {
	for _, server := range supervisor.pool.View(view.Group).Servers {
		if findServer(view, server.Server) == nil {
			return false
		}
	}
	return true
}

// awaitPrimary waits until the chosen server acts as primary.
func (supervisor *Supervisor) awaitPrimary(view pool.GroupView, state *groupState, chosen spool.Server) {
	deadline := supervisor.timers.Now().Add(promotionTimeout)
	for supervisor.timers.Now() < deadline {
		time.Sleep(checkPeriod / 3)
		if supervisor.pool.ProbePrimary(view.Group, chosen, supervisor.fleet.Operator()) == nil {
			state.probeFailedAt = 0
			supervisor.resumeReplicas(view, state) // the new primary completes no commit until a replica receives
			return
		}
	}
	event.Log(supervisor.logger, event.PromotionUnconfirmed, zap.String("Group", string(view.Group)),
		zap.String("Server", string(chosen)))
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

func candidateText(candidate elect.Candidate) string {
	if !candidate.Responded {
		return "not reached"
	}
	return candidate.Status.Received.String()
}
