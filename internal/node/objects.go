package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/pkg/spool"
)

const (
	platformCallTimeout = 2 * time.Second
	watchRetryInterval  = 200 * time.Millisecond
	markerCount         = 64
)

func (node *Node) readObjects(kinds []string) {
	ctx, cancel := context.WithTimeout(node.ctx, platformCallTimeout)
	defer cancel()
	read, err := node.listObjects(ctx, kinds)
	if err != nil {
		node.handle(core.ObjectsFailed{})
		return
	}
	node.handle(read)
}

// listObjects reads all objects of the kinds and fails if an answer is older than the call.
func (node *Node) listObjects(ctx context.Context, kinds []string) (core.ObjectsRead, error) {
	read := core.ObjectsRead{SentAt: node.timers.Now()}
	markerVersion, err := node.writeMarker(ctx)
	if err != nil {
		return read, err
	}
	for i, kind := range kinds {
		objects, version, err := node.platform.List(ctx, kind)
		if err != nil {
			return read, err
		}
		if version < markerVersion {
			return read, eris.Errorf("stale list of %s: version %d, below marker version %d", kind, version, markerVersion)
		}
		read.Objects = append(read.Objects, objects...)
		if i == 0 {
			read.Version = version
		}
	}
	return read, nil
}

// writeMarker writes one of markerCount marker objects and returns its version; later reads below it are stale.
func (node *Node) writeMarker(ctx context.Context) (spool.Version, error) {
	name := fmt.Sprint(xxhash.Sum64String(string(node.settings.VM)) % markerCount)
	object, err := node.platform.Get(ctx, spool.KindMark, name)
	if err != nil && !errors.Is(err, spool.ErrNotFound) {
		return 0, err
	}
	body, err := json.Marshal(node.settings.VM)
	if err != nil {
		return 0, err
	}
	written, err := node.platform.Put(ctx, spool.Object{
		Kind: spool.KindMark, Name: name, Version: object.Version, Body: body,
	})
	return written.Version, err
}

func (node *Node) readObject(kind, name string) {
	ctx, cancel := context.WithTimeout(node.ctx, platformCallTimeout)
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
	ctx, cancel := context.WithTimeout(node.ctx, platformCallTimeout)
	defer cancel()
	object, err := node.platform.Put(ctx, effect.Object)
	written := core.ObjectWritten{Object: effect.Object, Nonce: effect.Nonce}
	switch {
	case err == nil:
		written.Object, written.Result = object, core.WriteDone
	case errors.Is(err, spool.ErrConflict), errors.Is(err, spool.ErrNotFound):
		written.Result = core.WriteConflict
	default:
		written.Result = core.WriteUnknown
	}
	node.handle(written)
}

// watcher runs at most one watch of the platform at a time.
type watcher struct {
	cancel context.CancelFunc
}

// update starts, restarts or stops the watch; calls must not overlap.
func (watcher *watcher) update(node *Node, effect core.WatchObjects) {
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

var watchedKinds = []string{spool.KindManifest, spool.KindQuorum, spool.KindTerm, spool.KindMember}

func (node *Node) watch(ctx context.Context, after spool.Version) {
	for ctx.Err() == nil {
		sentAt := node.timers.Now()
		objects, version, err := node.platform.Watch(ctx, watchedKinds, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = clock.Wait(ctx, node.timers, watchRetryInterval)
			continue
		}
		after = version
		node.handle(core.ObjectsChanged{Objects: objects, SentAt: sentAt})
	}
}
