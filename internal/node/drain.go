package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const farewell = 200 * time.Millisecond

// drain gives up every role and ends the sessions without cutting a request.
func (node *Node) drain() {
	node.leaving.Store(true)
	node.trail.tend(node.timers.Now())
	event.Log(node.logger, event.ProxyDraining)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(node.settings.DrainTimeout))
	defer cancel()
	node.handle(core.Leave{})
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		for name, hosted := range node.groups.all() {
			node.handOver(ctx, name, hosted)
		}
	}()
	if err := node.front.Drain(ctx); err != nil {
		node.logger.Warn("sessions were cut at the end of the drain", zap.Error(err))
	}
	<-handedOver
	time.Sleep(farewell)
	node.trail.finish()
	event.Log(node.logger, event.ProxyStopped)
}

// handOver lets the group's running requests end and releases its lease.
func (node *Node) handOver(ctx context.Context, name spool.Group, hosted *hosted) {
	select {
	case <-hosted.Drain():
	case <-ctx.Done():
	}
	node.handle(core.GroupDrained{Group: name})
}
