package node

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/pkg/spool"
)

// observe sets up the metrics and has the logger and the platform feed them.
func (node *Node) observe() {
	node.metrics = metric.New(metric.WithRuntime(), metric.WithSample(node.sample))
	node.logger = event.RateLimit(node.logger, func(number event.Number) { node.metrics.CountEvent(int(number)) })
	node.platformReach = newReach(platformPatience, node.timers.Now())
	node.platform = node.metrics.InstrumentPlatform(node.platform, node.platformCalled)
	node.trail = newTrail(node)
}

// sample returns the values that are read at a scrape.
func (node *Node) sample() metric.Sample {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	groups, teams := node.core.HeldLeases()
	return metric.Sample{
		Sessions:    node.sessions.count(),
		GroupLeases: groups,
		TeamLeases:  teams,
		AuditLost:   node.trail.writer.Lost(),
		Versions:    node.core.Store().Versions(),
	}
}

// Begin admits work and measures it until its transaction ends.
func (node *Node) Begin(ctx context.Context, work spool.Work) (spool.Executor, error) {
	measured := &measured{node: node, team: work.Session.Login.Team, begun: node.timers.Now()}
	executor, err := node.admit(ctx, work)
	if err != nil {
		measured.fail(err)
		return nil, err
	}
	measured.Executor = executor
	return measured, nil
}

// measured is an executor whose verdict and duration are counted once.
type measured struct {
	spool.Executor
	node  *Node
	team  spool.Team
	begun spool.Instant
	asked bool
	ended bool
}

// Exchange runs one cycle.
func (measured *measured) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	measured.asked = true
	result, err := measured.Executor.Exchange(ctx, cycle, sink)
	switch {
	case err != nil:
		measured.fail(err)
	case result.TxStatus == 'I':
		measured.end(spool.VerdictAnswered)
	}
	return result, err
}

// Close gives the executor back; what its caller left open counts as answered.
func (measured *measured) Close() {
	measured.Executor.Close()
	if measured.asked {
		measured.end(spool.VerdictAnswered)
	}
}

func (measured *measured) end(verdict spool.Verdict) {
	if measured.ended {
		return
	}
	measured.ended = true
	measured.node.metrics.CountRequest(measured.team, verdict, measured.node.timers.Now().Sub(measured.begun))
}

// fail counts a request without a whole answer; an error that is no refusal says that its caller is gone.
func (measured *measured) fail(err error) {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) {
		measured.end(spool.VerdictUnknown)
		return
	}
	measured.end(refusal.Verdict)
	measured.node.metrics.CountRefusal(refusal.Code)
	event.Log(measured.node.logger, event.CallerRefused,
		append(refusalFields(refusal), zap.String("Team", string(measured.team)))...)
}

// LoginRefused records that a caller was not let in.
func (node *Node) LoginRefused(caller net.Addr, refusal *spool.Refusal) {
	node.metrics.CountRefusal(refusal.Code)
	number := event.CallerRefused
	if refusal.Code == spool.CodeProtocol {
		number = event.ProtocolViolation
	}
	event.Log(node.logger, number, append(refusalFields(refusal), zap.Stringer("Caller", caller))...)
}

// SessionEnded records that the proxy ended a connected session.
func (node *Node) SessionEnded(login spool.Login, caller net.Addr, refusal *spool.Refusal) {
	node.metrics.CountRefusal(refusal.Code)
	number := event.SessionEnded
	if refusal.Code == spool.CodeProtocol {
		number = event.ProtocolViolation
	}
	event.Log(node.logger, number, append(refusalFields(refusal),
		zap.Stringer("Caller", caller), zap.String("Key", login.Key.Name), zap.String("Team", string(login.Team)))...)
}

func refusalFields(refusal *spool.Refusal) []zap.Field {
	fields := []zap.Field{zap.String("SQLSTATE", refusal.Code), zap.String("Reason", refusal.Message)}
	if refusal.Cause != nil {
		fields = append(fields, zap.String("Cause", refusal.Cause.Error()))
	}
	return fields
}

// ObserveSlotWait tells how long a request waited for a slot.
func (node *Node) ObserveSlotWait(wait time.Duration) { node.metrics.ObserveSlotWait(wait) }

// CountRead tells of an answered read.
func (node *Node) CountRead(replica bool) { node.metrics.CountRead(replica) }
