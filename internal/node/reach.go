package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	platformPatience = 1 * time.Second
	serverPatience   = 500 * time.Millisecond
	minFailures      = 2
)

// reach tells when something that is called over and over gets out of reach, and when it is back.
type reach struct {
	patience time.Duration

	mutex      sync.Mutex
	answeredAt spool.Instant
	failures   int // in a row
	lost       bool
}

func newReach(patience time.Duration, now spool.Instant) *reach {
	return &reach{patience: patience, answeredAt: now}
}

// called takes in what became of a call and tells whether that is a change and whether the other side is lost now.
func (reach *reach) called(answered bool, now spool.Instant) (changed, lost bool) {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	before := reach.lost
	if answered {
		reach.answeredAt = now
		reach.failures = 0
		reach.lost = false
		return before, false
	}
	reach.failures++
	if reach.failures >= minFailures && now.Sub(reach.answeredAt) >= reach.patience {
		reach.lost = true
	}
	return before != reach.lost, reach.lost
}

// platformCalled logs when the platform gets out of reach and when it is back.
func (node *Node) platformCalled(err error) {
	changed, lost := node.platformReach.called(err == nil, node.timers.Now())
	switch {
	case changed && lost:
		event.Log(node.logger, event.PlatformUnreachable, zap.Error(err))
	case changed:
		event.Log(node.logger, event.PlatformReachable)
	}
}

// serverCalled logs when a server of a hosted group gets out of reach and when it is back.
func (hosted *hosted) serverCalled(reach *reach, server spool.Server, err error) {
	changed, lost := reach.called(err == nil, hosted.node.timers.Now())
	fields := []zap.Field{zap.String("Group", string(hosted.name)), zap.String("Server", string(server))}
	switch {
	case changed && lost:
		event.Log(hosted.node.logger, event.ServerUnreachable, append(fields, zap.Error(err))...)
	case changed:
		event.Log(hosted.node.logger, event.ServerReachable, fields...)
	}
}
