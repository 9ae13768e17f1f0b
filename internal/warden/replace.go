package warden

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

// replace promotes a replica in place of a primary that is gone.
func (warden *Warden) replace(ctx context.Context, view pool.View, state *state) {
	replicas := warden.statuses(view, state, view.Primary)
	_, acked, complete := warden.fleet.Contact(view.Group, view.Primary, state.since)
	situation := elect.Situation{
		Replicas: replicas, SyncReplicas: view.SyncReplicas, Acked: acked.Max(view.Acked), AckedComplete: complete,
	}
	chosen, verdict := elect.Choose(situation)
	warden.logChoice(view, chosen, verdict, replicas, situation.Acked)
	if chosen == "" {
		warden.retryLater(state)
		return
	}
	if !warden.pauseOthers(view, state, replicas, chosen) {
		warden.retryLater(state)
		return
	}
	again := warden.statuses(view, state, view.Primary)
	situation.Replicas = again
	if better, verdict := elect.Choose(situation); better != chosen {
		warden.logChoice(view, better, verdict, again, situation.Acked)
		warden.resume(view, state)
		return
	}
	warden.order(ctx, view, state, chosen)
}

// hand promotes a replica while the leaving primary still works, so that no commit waits.
func (warden *Warden) hand(ctx context.Context, view pool.View, state *state) {
	replicas := warden.statuses(view, state, view.Primary)
	chosen, found := elect.Planned(replicas)
	if !found {
		warden.logChoice(view, "", elect.NoReplica, replicas, view.Acked)
		warden.retryLater(state)
		return
	}
	if !warden.pauseOthers(view, state, replicas, chosen) {
		warden.resume(view, state)
		warden.retryLater(state)
		return
	}
	deadline := warden.timers.Now().Add(catchUpTime)
	for {
		replicas = warden.statuses(view, state, view.Primary)
		best, _ := elect.Choose(elect.Situation{Replicas: replicas, SyncReplicas: view.SyncReplicas, AckedComplete: true})
		if best == chosen || caughtUp(replicas, chosen) {
			break
		}
		if warden.timers.Now() > deadline {
			warden.resume(view, state)
			warden.retryLater(state)
			return
		}
		time.Sleep(lookPeriod / 5)
	}
	warden.logChoice(view, chosen, elect.Safe, replicas, view.Acked)
	warden.order(ctx, view, state, chosen)
}

// caughtUp tells if a server has received all that the other replicas have.
func caughtUp(replicas []elect.Replica, chosen spool.Server) bool {
	var own, most spool.LogPosition
	for _, replica := range replicas {
		if !replica.Seen {
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
func (warden *Warden) statuses(view pool.View, state *state, primary spool.Server) []elect.Replica {
	return warden.askAll(view, state, primary, spool.Command{Verb: spool.VerbStatus})
}

func (warden *Warden) askAll(view pool.View, _ *state, except spool.Server, command spool.Command) []elect.Replica {
	var replicas []elect.Replica
	var asking sync.WaitGroup
	var mutex sync.Mutex
	for _, server := range view.Servers {
		if server.Server == except {
			continue
		}
		asking.Go(func() {
			status, err := warden.ask(view.Group, server.Server, command)
			if err != nil {
				event.Log(warden.logger, event.ServerUnasked, zap.String("Group", string(view.Group)),
					zap.String("Server", string(server.Server)), event.Cause(err))
			}
			mutex.Lock()
			defer mutex.Unlock()
			replicas = append(replicas, elect.Replica{
				Server: server.Server, Seen: err == nil, Status: status, Leaving: server.Leaving, Near: server.Distance < statusWait/50,
			})
		})
	}
	asking.Wait()
	return replicas
}

// ask sends one order to a server, again while it is busy, and reads its status.
func (warden *Warden) ask(group spool.Group, server spool.Server, command spool.Command) (spool.ReplicaStatus, error) {
	deadline := time.Now().Add(statusWait)
	for {
		answers, err := warden.pool.Order(group, server, warden.fleet.Operator(), time.Until(deadline), command)
		if err != nil {
			return spool.ReplicaStatus{}, err
		}
		status, err := warden.linker.Status(answers[0])
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
func (warden *Warden) pauseOthers(view pool.View, state *state, replicas []elect.Replica, chosen spool.Server) bool {
	term := view.Term
	for _, replica := range replicas {
		term = max(term, replica.Status.Term, replica.Status.Held)
	}
	complete := true
	for _, replica := range replicas {
		if replica.Server == chosen || !replica.Seen {
			continue
		}
		state.paused[replica.Server] = true
		_, err := warden.ask(view.Group, replica.Server, spool.Command{Verb: spool.VerbPause, Term: term + 1})
		event.Log(warden.logger, event.ReplicaPaused, zap.String("Group", string(view.Group)),
			zap.String("Server", string(replica.Server)), zap.Uint64("Term", uint64(term+1)), event.Cause(err))
		complete = complete && err == nil
	}
	return complete
}

// resume lets paused replicas receive again.
func (warden *Warden) resume(view pool.View, state *state) {
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

func (warden *Warden) retryLater(state *state) {
	state.next = warden.timers.Now().Add(retryAfter)
}

// order takes a fencing token and orders the promotion.
func (warden *Warden) order(ctx context.Context, view pool.View, state *state, chosen spool.Server) {
	token, err := warden.tokens.Next(ctx, view.Group)
	if err != nil {
		event.Log(warden.logger, event.PromotionFailed, zap.String("Group", string(view.Group)),
			zap.String("Server", string(chosen)), event.Cause(eris.Wrap(err, "take a fencing token")))
		warden.resume(view, state)
		warden.retryLater(state)
		return
	}
	err = warden.promoter.Promote(ctx, spool.Promotion{
		Group: view.Group, Server: chosen, Holder: warden.vm, Token: token,
	})
	event.Log(warden.logger, event.PromotionOrdered, zap.String("Group", string(view.Group)),
		zap.String("Server", string(chosen)), zap.String("Replaced", string(view.Primary)),
		zap.Uint64("Token", token), event.Cause(err))
	if errors.Is(err, spool.ErrFenced) {
		warden.resume(view, state)
		warden.retryLater(state)
		return
	}
	warden.await(view, state, chosen)
}

// await waits until the chosen server acts as primary.
func (warden *Warden) await(view pool.View, state *state, chosen spool.Server) {
	deadline := warden.timers.Now().Add(settleTime)
	for warden.timers.Now() < deadline {
		time.Sleep(lookPeriod / 3)
		if warden.pool.AskPrimary(view.Group, chosen, warden.fleet.Operator()) == nil {
			state.failed = 0
			clear(state.paused) // a promotion lets them receive again
			return
		}
	}
	event.Log(warden.logger, event.PromotionUnseen, zap.String("Group", string(view.Group)),
		zap.String("Server", string(chosen)))
}

func (warden *Warden) logChoice(
	view pool.View, chosen spool.Server, verdict elect.Verdict, replicas []elect.Replica, acked spool.LogPosition,
) {
	fields := []zap.Field{
		zap.String("Group", string(view.Group)), zap.String("Chosen", string(chosen)),
		zap.String("Verdict", string(verdict)), zap.String("Primary", string(view.Primary)),
		zap.Stringer("Acknowledged", acked),
	}
	for _, replica := range replicas {
		fields = append(fields, zap.String("Replica/"+string(replica.Server), replicaText(replica)))
	}
	event.Log(warden.logger, event.ReplicaChosen, fields...)
}

func replicaText(replica elect.Replica) string {
	if !replica.Seen {
		return "not reached"
	}
	return replica.Status.Received.String()
}
