package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	callTimeout = 2 * time.Second
	watchRetry  = 200 * time.Millisecond
)

func (node *Node) readObjects(kinds []string) {
	ctx, cancel := context.WithTimeout(node.ctx, callTimeout)
	defer cancel()
	read := core.ObjectsRead{}
	for i, kind := range kinds {
		objects, version, err := node.platform.List(ctx, kind)
		if err != nil {
			node.handle(core.ObjectsFailed{})
			return
		}
		read.Objects = append(read.Objects, objects...)
		if i == 0 {
			read.Version = version
		}
	}
	node.handle(read)
}

func (node *Node) readObject(kind, name string) {
	ctx, cancel := context.WithTimeout(node.ctx, callTimeout)
	defer cancel()
	object, err := node.platform.Get(ctx, kind, name)
	switch {
	case errors.Is(err, spool.ErrNotFound):
		node.handle(core.ObjectRead{Object: spool.Object{Kind: kind, Name: name}})
	case err != nil:
		node.handle(core.ObjectFailed{Kind: kind, Name: name})
	default:
		node.handle(core.ObjectRead{Object: object})
	}
}

func (node *Node) writeObject(effect core.WriteObject) {
	ctx, cancel := context.WithTimeout(node.ctx, callTimeout)
	defer cancel()
	object, err := node.platform.Put(ctx, effect.Object)
	written := core.ObjectWritten{Object: effect.Object, Nonce: effect.Nonce}
	switch {
	case err == nil:
		written.Object, written.Result = object, core.Written
	case errors.Is(err, spool.ErrConflict), errors.Is(err, spool.ErrNotFound):
		written.Result = core.Conflict
	default:
		written.Result = core.Uncertain
	}
	node.handle(written)
}

// watcher runs at most one watch of the platform.
type watcher struct {
	cancel context.CancelFunc
}

// set begins, renews or ends the watch; calls come one at a time.
func (watcher *watcher) set(node *Node, effect core.WatchObjects) {
	if watcher.cancel != nil {
		watcher.cancel()
		watcher.cancel = nil
	}
	if effect.Watch {
		ctx, cancel := context.WithCancel(node.ctx)
		watcher.cancel = cancel
		go node.watch(ctx, effect.After)
	}
}

var watchedKinds = []string{spool.KindManifest, spool.KindRoster, spool.KindTerm, spool.KindMember}

func (node *Node) watch(ctx context.Context, after spool.Version) {
	lost := false
	for ctx.Err() == nil {
		objects, version, err := node.platform.Watch(ctx, watchedKinds, after)
		if ctx.Err() != nil {
			return
		}
		if lost != (err != nil) {
			lost = err != nil
			node.logPlatform(lost, err)
		}
		if err != nil {
			pause(ctx, watchRetry)
			continue
		}
		after = version
		if len(objects) > 0 {
			node.handle(core.ObjectsSeen{Objects: objects})
		}
	}
}

func (node *Node) logPlatform(lost bool, err error) {
	if lost {
		event.Log(node.logger, event.PlatformLost, zap.Error(err))
		return
	}
	event.Log(node.logger, event.PlatformBack)
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
