package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	platformOutageAfter = 1 * time.Second
	serverOutageAfter   = 500 * time.Millisecond
	minOutageFailures   = 2
)

// outageDetector detects from the results of repeated calls when a service becomes unreachable and reachable again.
type outageDetector struct {
	outageAfter time.Duration

	mutex       sync.Mutex
	answeredAt  spool.Instant
	failures    int // consecutive
	unreachable bool
}

func newOutageDetector(outageAfter time.Duration, now spool.Instant) *outageDetector {
	return &outageDetector{outageAfter: outageAfter, answeredAt: now}
}

// observe records the result of a call, and returns whether the state changed and whether the service is unreachable.
func (outageDetector *outageDetector) observe(answered bool, now spool.Instant) (changed, unreachable bool) {
	outageDetector.mutex.Lock()
	defer outageDetector.mutex.Unlock()
	wasUnreachable := outageDetector.unreachable
	if answered {
		outageDetector.answeredAt = now
		outageDetector.failures = 0
		outageDetector.unreachable = false
		return wasUnreachable, false
	}
	outageDetector.failures++
	if outageDetector.failures >= minOutageFailures && now.Sub(outageDetector.answeredAt) >= outageDetector.outageAfter {
		outageDetector.unreachable = true
	}
	return wasUnreachable != outageDetector.unreachable, outageDetector.unreachable
}

// observePlatformCall logs when the platform becomes unreachable or reachable again.
func (node *Node) observePlatformCall(err error) {
	changed, unreachable := node.platformOutage.observe(err == nil, node.timers.Now())
	switch {
	case changed && unreachable:
		event.Log(node.logger, event.PlatformUnreachable, zap.Error(err))
	case changed:
		event.Log(node.logger, event.PlatformReachable)
	}
}

// observeServerPoll logs when a server of a hosted group becomes unreachable or reachable again.
func (hostedGroup *hostedGroup) observeServerPoll(outageDetector *outageDetector, server spool.Server, err error) {
	changed, unreachable := outageDetector.observe(err == nil, hostedGroup.node.timers.Now())
	fields := []zap.Field{zap.String("Group", string(hostedGroup.name)), zap.String("Server", string(server))}
	switch {
	case changed && unreachable:
		event.Log(hostedGroup.node.logger, event.ServerUnreachable, append(fields, zap.Error(err))...)
	case changed:
		event.Log(hostedGroup.node.logger, event.ServerReachable, fields...)
	}
}
