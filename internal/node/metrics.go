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

// initObservability sets up the metrics and the audit trail, and instruments the logger and the platform.
func (node *Node) initObservability() {
	node.metrics = metric.New(metric.WithRuntime(), metric.WithSample(node.sample))
	node.logger = event.RateLimit(node.logger, func(number event.Number) { node.metrics.CountEvent(int(number)) })
	node.platformOutage = newOutageDetector(platformOutageAfter, node.timers.Now())
	node.platform = node.metrics.InstrumentPlatform(node.platform, node.observePlatformCall)
	node.auditTrail = newAuditTrail(node)
}

// sample returns the values that are read when the metrics are scraped.
func (node *Node) sample() metric.Sample {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	groups, teams := node.core.HeldLeases()
	return metric.Sample{
		Sessions:    node.sessions.count(),
		GroupLeases: groups,
		TeamLeases:  teams,
		AuditLost:   node.auditTrail.writer.Lost(),
		Versions:    node.core.Store().Versions(),
	}
}

// Begin admits work and returns an executor that counts its verdict and duration.
func (node *Node) Begin(ctx context.Context, work spool.Work) (spool.Executor, error) {
	measuredExecutor := &measuredExecutor{node: node, team: work.Session.Login.Team, startedAt: node.timers.Now()}
	executor, err := node.admit(ctx, work)
	if err != nil {
		measuredExecutor.countFailure(err)
		return nil, err
	}
	measuredExecutor.Executor = executor
	return measuredExecutor, nil
}

// measuredExecutor is an executor that counts the verdict and duration of its work once.
type measuredExecutor struct {
	spool.Executor
	node      *Node
	team      spool.Team
	startedAt spool.Instant
	exchanged bool
	counted   bool
}

// Exchange runs one cycle and counts the work if that ends it.
func (measuredExecutor *measuredExecutor) Exchange(
	ctx context.Context, cycle *spool.Cycle, sink spool.Sink,
) (spool.Result, error) {
	measuredExecutor.exchanged = true
	result, err := measuredExecutor.Executor.Exchange(ctx, cycle, sink)
	switch {
	case err != nil:
		measuredExecutor.countFailure(err)
	case result.TxStatus == 'I':
		measuredExecutor.countOnce(spool.VerdictAnswered)
	}
	return result, err
}

// Close closes the executor; a transaction that its caller left open counts as answered.
func (measuredExecutor *measuredExecutor) Close() {
	measuredExecutor.Executor.Close()
	if measuredExecutor.exchanged {
		measuredExecutor.countOnce(spool.VerdictAnswered)
	}
}

func (measuredExecutor *measuredExecutor) countOnce(verdict spool.Verdict) {
	if measuredExecutor.counted {
		return
	}
	measuredExecutor.counted = true
	measuredExecutor.node.metrics.CountRequest(measuredExecutor.team, verdict,
		measuredExecutor.node.timers.Now().Sub(measuredExecutor.startedAt))
}

// countFailure counts a request without a complete answer; an error other than a refusal means that its caller is gone.
func (measuredExecutor *measuredExecutor) countFailure(err error) {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) {
		measuredExecutor.countOnce(spool.VerdictUnknown)
		return
	}
	measuredExecutor.countOnce(refusal.Verdict)
	measuredExecutor.node.metrics.CountRefusal(refusal.Code)
	event.Log(measuredExecutor.node.logger, event.CallerRefused,
		append(refusalFields(refusal), zap.String("Team", string(measuredExecutor.team)))...)
}

// LoginRefused counts and logs a refused login.
func (node *Node) LoginRefused(caller net.Addr, refusal *spool.Refusal) {
	node.metrics.CountRefusal(refusal.Code)
	number := event.CallerRefused
	if refusal.Code == spool.CodeProtocol {
		number = event.ProtocolViolation
	}
	event.Log(node.logger, number, append(refusalFields(refusal), zap.Stringer("Caller", caller))...)
}

// SessionEnded counts and logs that the proxy ended a connected session.
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

// ObserveSlotWait records how long a request waited for a slot.
func (node *Node) ObserveSlotWait(wait time.Duration) { node.metrics.ObserveSlotWait(wait) }

// CountRead counts an answered read.
func (node *Node) CountRead(replica bool) { node.metrics.CountRead(replica) }
