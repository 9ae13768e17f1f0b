package fleet

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// reachabilityObserver logs when the store becomes unreachable or reachable for one kind of object.
type reachabilityObserver struct {
	*Proxy
	kind string
}

// StoreReachable records and logs a change and sends it to the region.
func (observer reachabilityObserver) StoreReachable(reached bool, cause error) {
	number := event.PlatformUnreachable
	if reached {
		number = event.PlatformReachable
	}
	observer.setStoreReached(reached)
	observer.peers.notifyRegion()
	event.Log(observer.logger, number, zap.String("Kind", observer.kind), event.Cause(cause))
}

// serverObserver passes registered servers to the pool; it implements mirror.Observer.
type serverObserver struct {
	reachabilityObserver
}

// ObjectChanged adds or updates a server in the pool; a server with a malformed entry is removed.
func (observer serverObserver) ObjectChanged(object spool.Object) {
	server, err := observer.adapter.ParseServer(object)
	if err != nil {
		event.Log(observer.logger, event.StoreEntryIgnored, zap.String("Entry", object.Name), event.Cause(err))
		observer.pool.RemoveServer(spool.Server(object.Name))
		return
	}
	observer.pool.SetServer(server)
}

// ObjectDeleted removes a server from the pool.
func (observer serverObserver) ObjectDeleted(name string) {
	observer.pool.RemoveServer(spool.Server(name))
}

// ContentsChanged notifies the proxies of the region at once if this one reads for them or relays updates.
func (observer serverObserver) ContentsChanged(spool.Version) {
	if observer.reader.readsForRegion() {
		observer.peers.notifyRegion()
		return
	}
	observer.peers.forwardUpdate()
}
