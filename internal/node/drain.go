package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// shutdownGrace lets queued messages to other proxies be sent before the transport closes.
const shutdownGrace = 200 * time.Millisecond

// drain gives up all leases and ends the sessions after their transactions, at the latest at the drain timeout.
func (node *Node) drain() {
	node.leaving.Store(true)
	node.auditTrail.flushOrDrop(node.timers.Now())
	event.Log(node.logger, event.ProxyDraining)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(node.settings.DrainTimeout))
	defer cancel()
	node.handle(core.Leave{})
	groupsReleased := make(chan struct{})
	go func() {
		defer close(groupsReleased)
		for name, hostedGroup := range node.groups.all() {
			node.releaseGroup(ctx, name, hostedGroup)
		}
	}()
	if err := node.front.Drain(ctx); err != nil {
		node.logger.Warn("drain timed out; remaining sessions were closed", zap.Error(err))
	}
	<-groupsReleased
	time.Sleep(shutdownGrace)
	node.auditTrail.drain()
	event.Log(node.logger, event.ProxyStopped)
}

// releaseGroup waits for the group's running requests until ctx ends, then lets the core release its lease.
func (node *Node) releaseGroup(ctx context.Context, name spool.Group, hostedGroup *hostedGroup) {
	select {
	case <-hostedGroup.Drain():
	case <-ctx.Done():
	}
	node.handle(core.GroupDrained{Group: name})
}
