package fleet

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// reach logs when a part of the platform is lost or back.
type reach struct {
	*Proxy
	kind string
}

// Reached logs a change.
func (reach reach) StoreReachable(reached bool, cause error) {
	number := event.PlatformUnreachable
	if reached {
		number = event.PlatformReachable
	}
	reach.setStoreReached(reached)
	reach.peers.tellRegion()
	event.Log(reach.logger, number, zap.String("Kind", reach.kind), event.Cause(cause))
}

// serverObserver tells the pool of registered servers; it implements mirror.Observer.
type serverObserver struct {
	reach
}

// Changed tells the pool of a new or changed server; an entry out of form names no server to use.
func (observer serverObserver) ObjectChanged(object spool.Object) {
	server, err := observer.adapter.ParseServer(object)
	if err != nil {
		event.Log(observer.logger, event.StoreEntryIgnored, zap.String("Entry", object.Name), event.Cause(err))
		observer.pool.RemoveServer(spool.Server(object.Name))
		return
	}
	observer.pool.SetServer(server)
}

// Deleted tells the pool that a server is gone.
func (observer serverObserver) ObjectDeleted(name string) {
	observer.pool.RemoveServer(spool.Server(name))
}

// Advanced tells the proxies of the region at once if this one reads for them or passes news on.
func (observer serverObserver) ContentsChanged(spool.Version) {
	if observer.reader.leads() {
		observer.peers.tellRegion()
		return
	}
	observer.peers.passOn()
}
