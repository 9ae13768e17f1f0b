package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	minRetryDelay    = 150 * time.Millisecond  // between calls while the store fails; doubled up to maxRetryDelay
	maxRetryDelay    = 900 * time.Millisecond  // so that the end of an outage is noticed within a second
	minBatchDelay    = 150 * time.Millisecond  // after changes, so that one call returns related ones together
	maxBatchDelay    = 1200 * time.Millisecond // during a series of changes, as when all servers register
	catchUpTimeout   = 600 * time.Millisecond  // for a watch to return a version known to others; a slow answer takes 240 ms
	unreachableAfter = 2                       // consecutive failed calls after which the store counts as unreachable
)

// WatchTimeout is the longest wait of a watch; the store allows 30 s.
const WatchTimeout = 25 * time.Second

// ExpiryGracePeriod is how long after an outage of the store missing entries are retained: those that expired during the
// outage are registered again within two seconds.
const ExpiryGracePeriod = 2200 * time.Millisecond

// Observer receives the changes of a mirror.
type Observer interface {
	// ObjectChanged reports an object that is new or has another version.
	ObjectChanged(object spool.Object)
	// ObjectDeleted reports the name of a deleted object.
	ObjectDeleted(name string)
	// ContentsChanged reports that the contents of the copy changed, as of a version of the store.
	ContentsChanged(version spool.Version)
	// StoreReachable reports a change of whether calls to the store succeed.
	StoreReachable(reached bool, cause error)
}

// Mirror copies the objects of a kind by listing and watching them.
type Mirror struct {
	store    spool.Store
	timers   spool.Timers
	kind     string
	observer Observer
	isLeader func() bool

	batchedAt  spool.Instant // when changes last arrived
	batchDelay time.Duration // delay before the next watch

	refreshing  sync.Mutex // held during a refresh
	refreshedAt spool.Instant
	refreshErr  error

	mutex            sync.Mutex
	objects          map[string]spool.Object
	expiring         map[string]func() // stops the timer that reports the object as deleted
	version          spool.Version     // of the store that the copy reflects
	contentVersion   spool.Version     // at which the contents last changed
	cancelWatch      func()            // cancels the current watch; nil if there is none
	catchUpScheduled bool              // a check against a notified version is scheduled
	watchCancelled   bool              // the watch was cancelled because of a notified version
	failedAt         spool.Instant     // when the store last failed; zero if never
	failures         int
	unreachable      bool
}

// New returns a mirror of a kind that watches the store.
func New(store spool.Store, timers spool.Timers, kind string, observer Observer, options ...Option) *Mirror {
	mirror := &Mirror{
		store: store, timers: timers, kind: kind, observer: observer, isLeader: func() bool { return true },
		objects: map[string]spool.Object{}, expiring: map[string]func(){},
	}
	for _, option := range options {
		option(mirror)
	}
	return mirror
}

// Run maintains the copy until the context ends.
func (mirror *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := mirror.list(ctx)
		for err == nil {
			var version spool.Version
			if version, err = mirror.awaitLeadership(ctx); err == nil {
				err = mirror.watch(ctx, version)
			}
			if err == nil {
				mirror.awaitBatch(ctx)
			}
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, spool.ErrCompacted) {
			continue
		}
		mirror.recordFailure(err)
		mirror.backOff(ctx)
		if mirror.Version() > 0 {
			_, _ = mirror.awaitLeadership(ctx) // a proxy that is no longer the leader gets changes from the leader
		}
	}
}

func (mirror *Mirror) list(ctx context.Context) error {
	objects, version, err := mirror.store.List(ctx, mirror.kind)
	if err != nil {
		return err
	}
	mirror.recordSuccess()
	mirror.noteEra(version)
	mirror.replaceAll(objects, version)
	return nil
}

// Refresh lists the objects once more, whether or not this proxy watches the store. Concurrent calls share a list that began
// after they did. It returns the store's error, which does not count as an outage.
func (mirror *Mirror) Refresh(ctx context.Context) error {
	requested := mirror.timers.Now()
	mirror.refreshing.Lock()
	defer mirror.refreshing.Unlock()
	if mirror.refreshedAt > requested {
		return mirror.refreshErr
	}
	mirror.refreshedAt = mirror.timers.Now()
	objects, version, err := mirror.store.List(ctx, mirror.kind)
	if err == nil {
		mirror.noteEra(version)
		mirror.replaceAll(objects, version)
	}
	mirror.refreshErr = err
	return err
}

// NotifyVersion announces a version of the store. If the copy does not reach it within catchUpTimeout, the objects are
// listed again: a watch may receive nothing while the store discards its history.
func (mirror *Mirror) NotifyVersion(version spool.Version) {
	mirror.mutex.Lock()
	behind := mirror.version < version && mirror.cancelWatch != nil && !mirror.catchUpScheduled
	mirror.catchUpScheduled = mirror.catchUpScheduled || behind
	mirror.mutex.Unlock()
	if !behind {
		return
	}
	mirror.timers.After(catchUpTimeout, spool.TimerFunc(func(spool.Instant) { mirror.cancelStaleWatch(version) }))
}

func (mirror *Mirror) cancelStaleWatch(version spool.Version) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.catchUpScheduled = false
	if mirror.version < version && mirror.cancelWatch != nil {
		mirror.watchCancelled = true
		mirror.cancelWatch()
	}
}

// replaceAll replaces the copy with the complete list of objects as of a version.
func (mirror *Mirror) replaceAll(objects []spool.Object, version spool.Version) {
	var present []string
	changed := false
	for _, object := range objects {
		present = append(present, object.Name)
		changed = mirror.putObject(object) || changed
	}
	for _, name := range mirror.absentNames(present, version) {
		changed = mirror.removeObject(name) || changed
	}
	mirror.advance(version, changed)
}

// advance records the version that the copy reflects and reports a change of the contents.
func (mirror *Mirror) advance(version spool.Version, changed bool) {
	mirror.mutex.Lock()
	mirror.version = max(mirror.version, version)
	if changed {
		mirror.contentVersion = max(mirror.contentVersion, version)
	}
	mirror.mutex.Unlock()
	if changed {
		mirror.observer.ContentsChanged(version)
	}
}

// registerWatch makes the current watch cancellable by NotifyVersion.
func (mirror *Mirror) registerWatch(cancel func()) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.cancelWatch, mirror.watchCancelled = cancel, false
}

// unregisterWatch ends the registration of the watch and reports whether it was cancelled because of a notified version.
func (mirror *Mirror) unregisterWatch() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.cancelWatch = nil
	return mirror.watchCancelled
}

// watch waits for changes once and applies them. It returns ErrCompacted, so that the objects are listed again, if the watch
// was cancelled because of a notified version or ended early without changes: it may have missed some.
func (mirror *Mirror) watch(ctx context.Context, after spool.Version) error {
	began := mirror.timers.Now()
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	mirror.registerWatch(cancel)
	changes, version, err := mirror.store.Watch(watching, mirror.kind, after, WatchTimeout)
	if mirror.unregisterWatch() {
		return spool.ErrCompacted
	}
	if err != nil {
		return err
	}
	mirror.recordSuccess()
	if len(changes) == 0 && mirror.timers.Now().Sub(began) < WatchTimeout {
		return spool.ErrCompacted
	}
	changed := false
	for _, change := range changes {
		if change.Deleted {
			changed = mirror.removeObject(change.Name) || changed
			continue
		}
		changed = mirror.putObject(change.Object) || changed
	}
	mirror.advance(version, changed)
	return nil
}

// putObject stores an object and reports whether it is new or newer.
func (mirror *Mirror) putObject(object spool.Object) bool {
	mirror.mutex.Lock()
	if stop := mirror.expiring[object.Name]; stop != nil {
		stop()
		delete(mirror.expiring, object.Name)
	}
	if object.Version <= mirror.objects[object.Name].Version {
		mirror.mutex.Unlock()
		return false
	}
	mirror.objects[object.Name] = object
	mirror.mutex.Unlock()
	mirror.observer.ObjectChanged(object)
	return true
}

// removeObject removes an object and reports the deletion to the observer, at once or after ExpiryGracePeriod if the object
// may have expired during an outage of the store. It returns false if the deletion is already known.
func (mirror *Mirror) removeObject(name string) bool {
	changed, report := mirror.dropObject(name)
	if report {
		mirror.observer.ObjectDeleted(name)
	}
	return changed
}

// dropObject removes an object or schedules its removal; it returns whether the deletion is new and whether to report it
// now.
func (mirror *Mirror) dropObject(name string) (changed, report bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, known := mirror.objects[name]; !known || mirror.expiring[name] != nil {
		return false, false
	}
	if mirror.failedAt == 0 || mirror.timers.Now().Sub(mirror.failedAt) > ExpiryGracePeriod {
		delete(mirror.objects, name)
		return true, true
	}
	mirror.expiring[name] = mirror.timers.After(ExpiryGracePeriod, spool.TimerFunc(func(spool.Instant) { mirror.expireObject(name) }))
	return true, false
}

func (mirror *Mirror) expireObject(name string) {
	mirror.mutex.Lock()
	if mirror.expiring[name] == nil {
		mirror.mutex.Unlock()
		return
	}
	delete(mirror.expiring, name)
	delete(mirror.objects, name)
	mirror.mutex.Unlock()
	mirror.observer.ObjectDeleted(name)
}

// Stable reports whether the store has answered for long enough that expired objects are registered again.
func (mirror *Mirror) Stable() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.failures == 0 && (mirror.failedAt == 0 || mirror.timers.Now().Sub(mirror.failedAt) > ExpiryGracePeriod)
}

func (mirror *Mirror) recordFailure(err error) {
	mirror.mutex.Lock()
	mirror.failedAt = mirror.timers.Now()
	mirror.failures++
	report := mirror.failures == unreachableAfter
	mirror.unreachable = mirror.unreachable || report
	mirror.mutex.Unlock()
	if report {
		mirror.observer.StoreReachable(false, err)
	}
}

func (mirror *Mirror) recordSuccess() {
	mirror.mutex.Lock()
	report := mirror.unreachable
	if mirror.failures > 0 {
		mirror.failedAt = mirror.timers.Now()
	}
	mirror.failures, mirror.unreachable = 0, false
	mirror.mutex.Unlock()
	if report {
		mirror.observer.StoreReachable(true, nil)
	}
}

// awaitBatch waits so that changes close together are fetched together; the delay grows while changes continue.
func (mirror *Mirror) awaitBatch(ctx context.Context) {
	now := mirror.timers.Now()
	if now.Sub(mirror.batchedAt) < 2*maxBatchDelay {
		mirror.batchDelay = min(2*mirror.batchDelay, maxBatchDelay)
	} else {
		mirror.batchDelay = minBatchDelay
	}
	mirror.batchedAt = now
	select {
	case <-ctx.Done():
	case <-time.After(mirror.batchDelay):
	}
}

// backOff waits before the next call, longer with each failure and with jitter so that proxies do not synchronize.
func (mirror *Mirror) backOff(ctx context.Context) {
	mirror.mutex.Lock()
	delay := min(minRetryDelay<<min(mirror.failures, 8), maxRetryDelay)
	mirror.mutex.Unlock()
	wait := delay/2 + rand.N(delay/2)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
