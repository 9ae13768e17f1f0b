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

// catchUpTime is how long a candidate may take to receive what the paused replicas have: the lag of replication.
const catchUpTime = 400 * time.Millisecond

// nearDistance is the round trip up to which a server counts as near: that of a region.
const nearDistance = 10 * time.Millisecond

// replace promotes a replica in place of a primary that is gone.
func (warden *Supervisor) replace(ctx context.Context, view pool.GroupView, state *state) {
	if warden.choose(view, state, "") == "" {
		warden.retryLater(state)
		return
	}
	turn, ok := warden.take(ctx, view, state)
	if !ok {
		return
	}
	chosen := warden.choose(view, state, "")
	if chosen == "" || !warden.pauseOthers(view, state, chosen) || warden.choose(view, state, chosen) != chosen {
		warden.resume(view, state)
		warden.retryLater(state)
		return
	}
	warden.order(ctx, view, state, chosen, turn)
}

// choose asks the replicas for their positions and weighs them; an equal one that was chosen before stays chosen.
func (warden *Supervisor) choose(view pool.GroupView, state *state, before spool.Server) spool.Server {
	replicas := warden.statuses(view)
	situation := elect.FailoverState{
		Candidates: replicas, Preferred: before, RegistryIncomplete: !warden.fleet.RegistryComplete(), SyncReplicas: view.SyncReplicas,
		Acked: state.canvass.Acked.Max(view.AckedPosition), AckedComplete: state.canvass.Complete,
	}
	chosen, verdict := elect.ChooseFailover(situation)
	warden.logChoice(view, chosen, verdict, replicas, situation.Acked)
	return chosen
}

// hand promotes a replica while the leaving primary still works, so that no commit waits.
func (warden *Supervisor) hand(ctx context.Context, view pool.GroupView, state *state) {
	if !warden.fleet.RegistryComplete() {
		warden.retryLater(state)
		return
	}
	turn, ok := warden.take(ctx, view, state)
	if !ok {
		return
	}
	replicas := warden.statuses(view)
	chosen, found := elect.ChooseSwitchover(replicas)
	verdict := elect.Safe
	if !found {
		verdict = elect.NoReplica
	}
	warden.logChoice(view, chosen, verdict, replicas, view.AckedPosition)
	if !found || !warden.pauseOthers(view, state, chosen) || !warden.catchUp(view, chosen) {
		warden.resume(view, state)
		warden.retryLater(state)
		return
	}
	warden.order(ctx, view, state, chosen, turn)
}

// catchUp waits until a server has received all that the paused replicas have.
func (warden *Supervisor) catchUp(view pool.GroupView, chosen spool.Server) bool {
	deadline := warden.timers.Now().Add(catchUpTime)
	for !caughtUp(warden.statuses(view), chosen) {
		if warden.timers.Now() > deadline {
			return false
		}
		time.Sleep(lookPeriod / 5)
	}
	return true
}

// turn is a fencing token and when it was taken.
type turn struct {
	token uint64
	taken spool.Instant
}

// take takes a fencing token; after another holder's turn it waits for the end of that one's promotion.
func (warden *Supervisor) take(ctx context.Context, view pool.GroupView, state *state) (turn, bool) {
	token, recent, err := warden.tokens.Next(ctx, view.Group)
	if err != nil {
		event.Log(warden.logger, event.PromotionRequestFailed, zap.String("Group", string(view.Group)), event.Cause(err))
		warden.retryLater(state)
		return turn{}, false
	}
	if !recent {
		return turn{token: token, taken: warden.timers.Now()}, true
	}
	time.Sleep(turnWait)
	for _, server := range view.Servers {
		if server.Server == view.Primary {
			continue
		}
		err := warden.pool.ProbePrimary(view.Group, server.Server, warden.fleet.Operator())
		if elect.ClassifyProbe(err) == elect.ActsAsPrimary {
			return turn{}, false
		}
	}
	return turn{token: token, taken: warden.timers.Now()}, true
}

// caughtUp tells if a server has received all that the other replicas have.
func caughtUp(replicas []elect.Candidate, chosen spool.Server) bool {
	var own, most spool.LogPosition
	for _, replica := range replicas {
		if !replica.Responded {
			continue
		}
		most = most.Max(replica.Status.Received)
		if replica.Server == chosen {
			own = replica.Status.Received
		}
	}
	return !own.IsZero() && !own.Less(most)
}

// statuses asks all servers but the primary for their positions.
func (warden *Supervisor) statuses(view pool.GroupView) []elect.Candidate {
	var replicas []elect.Candidate
	var asking sync.WaitGroup
	var mutex sync.Mutex
	for _, server := range view.Servers {
		if server.Server == view.Primary {
			continue
		}
		asking.Go(func() {
			status, err := warden.ask(view.Group, server.Server, spool.Command{Verb: spool.VerbStatus})
			if err != nil {
				event.Log(warden.logger, event.ServerStatusFailed, zap.String("Group", string(view.Group)),
					zap.String("Server", string(server.Server)), event.Cause(err))
			}
			mutex.Lock()
			defer mutex.Unlock()
			replicas = append(replicas, elect.Candidate{
				Server: server.Server, Responded: err == nil, Status: status, Leaving: server.Leaving,
				Near: server.RoundTrip < nearDistance,
			})
		})
	}
	asking.Wait()
	return replicas
}

// ask sends one order to a server, again while it is busy, and reads its status.
func (warden *Supervisor) ask(group spool.Group, server spool.Server, command spool.Command) (spool.ReplicaStatus, error) {
	deadline := time.Now().Add(statusWait)
	for {
		answers, err := warden.pool.Execute(group, server, warden.fleet.Operator(), time.Until(deadline), command)
		if err != nil {
			return spool.ReplicaStatus{}, err
		}
		status, err := warden.linker.ParseStatus(answers[0])
		if err == nil || time.Now().After(deadline) {
			return status, err
		}
		var refusal *spool.Refusal
		if !errors.As(err, &refusal) || refusal.Code != spool.CodeNoSlot {
			return status, err
		}
		time.Sleep(lookPeriod / 10)
	}
}

// pauseOthers stops the replicas besides the chosen one from receiving, so that no commit is confirmed without it.
func (warden *Supervisor) pauseOthers(view pool.GroupView, state *state, chosen spool.Server) bool {
	term := view.Term + 1
	complete := true
	for _, server := range view.Servers {
		if server.Server == chosen || server.Server == view.Primary {
			continue
		}
		state.paused[server.Server] = true
		_, err := warden.ask(view.Group, server.Server, spool.Command{Verb: spool.VerbPause, Term: term})
		event.Log(warden.logger, event.ReplicaPaused, zap.String("Group", string(view.Group)),
			zap.String("Server", string(server.Server)), zap.Uint64("Term", uint64(term)), event.Cause(err))
		complete = complete && (err == nil || elect.ClassifyProbe(err) == elect.Unreachable)
	}
	return complete
}

// resume lets paused replicas receive again.
func (warden *Supervisor) resume(view pool.GroupView, state *state) {
	for server := range state.paused {
		if find(view, server) == nil {
			delete(state.paused, server)
			continue
		}
		_, err := warden.ask(view.Group, server, spool.Command{Verb: spool.VerbResume})
		event.Log(warden.logger, event.ReplicaResumed, zap.String("Group", string(view.Group)),
			zap.String("Server", string(server)), event.Cause(err))
		if err == nil {
			delete(state.paused, server)
		}
	}
}

func (warden *Supervisor) retryLater(state *state) {
	state.next = warden.timers.Now().Add(retryAfter)
}

// order orders the promotion unless the token was taken too long ago.
func (warden *Supervisor) order(ctx context.Context, view pool.GroupView, state *state, chosen spool.Server, turn turn) {
	if !warden.sameServers(view) {
		warden.resume(view, state)
		return // a new replica confirms commits as well; the next look counts it in
	}
	var err error
	if late := warden.timers.Now().Sub(turn.taken); late > orderWithin {
		err = eris.Errorf("the fencing token was taken %v ago", late)
	} else {
		state.ordered = warden.timers.Now()
		err = warden.promoter.Promote(ctx, spool.Promotion{
			Group: view.Group, Server: chosen, Holder: warden.vm, Token: turn.token,
		})
	}
	event.Log(warden.logger, event.PlatformPromotionRequested, zap.String("Group", string(view.Group)),
		zap.String("Server", string(chosen)), zap.String("Replaced", string(view.Primary)),
		zap.Uint64("Token", turn.token), event.Cause(err))
	if errors.Is(err, spool.ErrFenced) {
		warden.resume(view, state)
		warden.retryLater(state)
		return
	}
	warden.await(view, state, chosen)
}

// sameServers tells if no server joined the group since the view was taken.
func (warden *Supervisor) sameServers(view pool.GroupView) bool {
	for _, server := range warden.pool.View(view.Group).Servers {
		if find(view, server.Server) == nil {
			return false
		}
	}
	return true
}

// await waits until the chosen server acts as primary.
func (warden *Supervisor) await(view pool.GroupView, state *state, chosen spool.Server) {
	deadline := warden.timers.Now().Add(settleTime)
	for warden.timers.Now() < deadline {
		time.Sleep(lookPeriod / 3)
		if warden.pool.ProbePrimary(view.Group, chosen, warden.fleet.Operator()) == nil {
			state.failed = 0
			warden.resume(view, state) // the new primary commits nothing until a replica receives
			return
		}
	}
	event.Log(warden.logger, event.PromotionUnconfirmed, zap.String("Group", string(view.Group)),
		zap.String("Server", string(chosen)))
}

func (warden *Supervisor) logChoice(
	view pool.GroupView, chosen spool.Server, verdict elect.Decision, replicas []elect.Candidate, acked spool.LogPosition,
) {
	fields := []zap.Field{
		zap.String("Group", string(view.Group)), zap.String("Chosen", string(chosen)),
		zap.String("Verdict", string(verdict)), zap.String("Primary", string(view.Primary)),
		zap.Stringer("Acknowledged", acked),
	}
	for _, replica := range replicas {
		fields = append(fields, zap.String("Replica/"+string(replica.Server), replicaText(replica)))
	}
	event.Log(warden.logger, event.CandidatesEvaluated, fields...)
}

func replicaText(replica elect.Candidate) string {
	if !replica.Responded {
		return "not reached"
	}
	return replica.Status.Received.String()
}
