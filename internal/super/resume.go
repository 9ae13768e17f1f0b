package super

import (
	"context"
	"maps"
	"sync"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// resumeOwn resumes the replicas that this supervisor has paused, or found paused, unless another one may act.
func (supervisor *Supervisor) resumeOwn(ctx context.Context, group spool.Group, state *groupState) {
	view := supervisor.pool.View(group)
	supervisor.resumeReplicas(group, state, 0, func() bool {
		target, err := supervisor.findOrder(ctx, view)
		return err == nil && target == ""
	})
}

// resumeReplicas asks the replicas that may be paused, and resumes them as elect.Pause decides. Led is the newest term that is known to
// have a primary, zero if only the pool and the replicas know one; isSole reports whether no other supervisor may rely on a pause.
func (supervisor *Supervisor) resumeReplicas(group spool.Group, state *groupState, led spool.Term, isSole func() bool) {
	paused := supervisor.pausedServers(state)
	if len(paused) == 0 {
		return
	}
	view := supervisor.pool.View(group)
	isSole = sync.OnceValue(isSole)
	var resuming sync.WaitGroup
	for server, term := range paused {
		if findServer(view, server) == nil {
			supervisor.setPaused(state, server, 0)
			continue
		}
		if !supervisor.commandable(view, server) {
			continue // until the evacuation is withdrawn
		}
		resuming.Go(func() {
			pause := elect.Pause{Term: term, Led: max(led, view.Term)}
			supervisor.setPaused(state, server, supervisor.endPause(group, server, pause, isSole))
		})
	}
	resuming.Wait()
}

// endPause resumes a replica if the pause may be ended, and returns for which term the replica may still be paused; zero if it is not.
func (supervisor *Supervisor) endPause(group spool.Group, server spool.Server, pause elect.Pause, isSole func() bool) spool.Term {
	status, err := supervisor.queryStatus(group, server)
	if err != nil {
		return pause.Term
	}
	pause.Held, pause.Led = status.PausedTerm, max(pause.Led, status.Term)
	resumable := false
	switch pause.Next() {
	case elect.PauseEnded:
		return 0
	case elect.PauseOver:
		resumable = true
	case elect.PauseIsOwn:
		resumable = isSole()
	case elect.PauseOfOther:
		event.Log(supervisor.logger, event.ReplicaLeftPaused, zap.String("Group", string(group)), zap.String("Server", string(server)),
			zap.Uint64("Term", uint64(pause.Term)), zap.Uint64("Held", uint64(pause.Held)))
	}
	if resumable && supervisor.resume(group, server) == nil {
		return 0
	}
	return pause.Held
}

// resume resumes replication on a replica.
func (supervisor *Supervisor) resume(group spool.Group, server spool.Server) error {
	_, err := supervisor.sendCommand(group, server, statusTimeout, spool.Command{Verb: spool.VerbResume})
	event.Log(supervisor.logger, event.ReplicaResumed, zap.String("Group", string(group)),
		zap.String("Server", string(server)), event.Cause(err))
	return err
}

// queryStatus queries the status of a server and logs why it is not known.
func (supervisor *Supervisor) queryStatus(group spool.Group, server spool.Server) (spool.ReplicaStatus, error) {
	status, err := supervisor.sendCommand(group, server, statusTimeout, spool.Command{Verb: spool.VerbStatus})
	if err != nil {
		event.Log(supervisor.logger, event.ServerStatusFailed, zap.String("Group", string(group)),
			zap.String("Server", string(server)), event.Cause(err))
	}
	return status, err
}

func (supervisor *Supervisor) pausedServers(state *groupState) map[spool.Server]spool.Term {
	supervisor.mutex.Lock()
	defer supervisor.mutex.Unlock()
	return maps.Clone(state.paused)
}

// setPaused records for which term a server may be paused, or that it is not if the term is zero, and reports a change.
func (supervisor *Supervisor) setPaused(state *groupState, server spool.Server, term spool.Term) (changed bool) {
	supervisor.mutex.Lock()
	defer supervisor.mutex.Unlock()
	changed = state.paused[server] != term
	if term != 0 {
		state.paused[server] = term
	} else {
		delete(state.paused, server)
	}
	return changed
}
