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
	shortestPause = 150 * time.Millisecond  // between calls while the store refuses; doubled up to longestPause
	longestPause  = 900 * time.Millisecond  // so that the end of an outage is seen within a second
	gatherPause   = 150 * time.Millisecond  // after changes, for more that come with them: one call tells many
	gatherLongest = 1200 * time.Millisecond // while changes come one after the other, as when all servers register
	watchWait     = 25 * time.Second        // longest wait of a watch; the store allows 30 s
	hintPatience  = 600 * time.Millisecond  // for a watch to tell of a version that others know; a slow answer takes 240 ms
	lostAfter     = 2                       // failed calls in a row after which the store counts as lost
)

// ExpiryGracePeriod is how long entries that lapsed in an outage of the store may be missing after it: they are back within two
// seconds.
const ExpiryGracePeriod = 2200 * time.Millisecond

// Observer is told what a mirror learns.
type Observer interface {
	// Changed gets an object that is new or has another version.
	ObjectChanged(object spool.Object)
	// Deleted gets the name of an object that is gone.
	ObjectDeleted(name string)
	// Advanced says that the contents of the copy changed, as of a version of the store.
	ContentsChanged(version spool.Version)
	// Reached tells if calls to the store succeed; it is called when that changes.
	StoreReachable(reached bool, cause error)
}

// Mirror copies the objects of a kind by a list and a watch.
type Mirror struct {
	store    spool.Store
	timers   spool.Timers
	kind     string
	observer Observer
	lead     func() bool

	gathered  spool.Instant // when changes last came
	gathering time.Duration // the pause after them

	mutex    sync.Mutex
	objects  map[string]spool.Object
	missing  map[string]func() // stops the timer that will report the object as deleted
	version  spool.Version     // that the copy shows
	changed  spool.Version     // at which its contents last changed
	cancel   func()            // ends the watch that waits; nil while none does
	hinted   bool              // a look at a hint is due
	cut      bool              // the watch was ended because of a hint
	failed   spool.Instant     // when the store last failed; zero if never
	failures int
	lost     bool
}

// New returns a mirror of a kind that watches the store.
func New(store spool.Store, timers spool.Timers, kind string, observer Observer, options ...Option) *Mirror {
	mirror := &Mirror{
		store: store, timers: timers, kind: kind, observer: observer, lead: func() bool { return true },
		objects: map[string]spool.Object{}, missing: map[string]func(){},
	}
	for _, option := range options {
		option(mirror)
	}
	return mirror
}

// Run copies until the context ends.
func (mirror *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := mirror.list(ctx)
		for err == nil {
			var version spool.Version
			if version, err = mirror.follow(ctx); err == nil {
				err = mirror.watch(ctx, version)
			}
			if err == nil {
				mirror.gather(ctx)
			}
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, spool.ErrCompacted) {
			continue
		}
		mirror.fail(err)
		mirror.pause(ctx)
		if mirror.Version() > 0 {
			_, _ = mirror.follow(ctx) // a proxy that no longer leads gets changes from the one that does
		}
	}
}

func (mirror *Mirror) list(ctx context.Context) error {
	objects, version, err := mirror.store.List(ctx, mirror.kind)
	if err != nil {
		return err
	}
	mirror.succeed()
	mirror.replace(objects, version)
	return nil
}

// NotifyVersion tells the newest version of the store that is known. A copy that stays behind it is listed anew: a watch may hear
// nothing while the store drops its history.
func (mirror *Mirror) NotifyVersion(version spool.Version) {
	mirror.mutex.Lock()
	behind := mirror.version < version && mirror.cancel != nil && !mirror.hinted
	mirror.hinted = mirror.hinted || behind
	mirror.mutex.Unlock()
	if !behind {
		return
	}
	mirror.timers.After(hintPatience, spool.TimerFunc(func(spool.Instant) { mirror.relist(version) }))
}

func (mirror *Mirror) relist(version spool.Version) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.hinted = false
	if mirror.version < version && mirror.cancel != nil {
		mirror.cut = true
		mirror.cancel()
	}
}

// replace makes the copy that of all objects as of a version.
func (mirror *Mirror) replace(objects []spool.Object, version spool.Version) {
	var present []string
	changed := false
	for _, object := range objects {
		present = append(present, object.Name)
		changed = mirror.put(object) || changed
	}
	for _, name := range mirror.absent(present, version) {
		changed = mirror.remove(name) || changed
	}
	mirror.reached(version, changed)
}

// reached notes the version that the copy shows, and if its contents changed on the way.
func (mirror *Mirror) reached(version spool.Version, changed bool) {
	mirror.mutex.Lock()
	mirror.version = max(mirror.version, version)
	if changed {
		mirror.changed = max(mirror.changed, version)
	}
	mirror.mutex.Unlock()
	if changed {
		mirror.observer.ContentsChanged(version)
	}
}

// begin makes a watch that waits known to Hint.
func (mirror *Mirror) begin(cancel func()) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.cancel, mirror.cut = cancel, false
}

// end tells if a watch was cut because of a hint.
func (mirror *Mirror) end() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.cancel = nil
	return mirror.cut
}

// watch waits for changes once. A watch that ends early without any was cut off and may have missed some.
func (mirror *Mirror) watch(ctx context.Context, after spool.Version) error {
	began := mirror.timers.Now()
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	mirror.begin(cancel)
	changes, version, err := mirror.store.Watch(watching, mirror.kind, after, watchWait)
	if mirror.end() {
		return spool.ErrCompacted
	}
	if err != nil {
		return err
	}
	mirror.succeed()
	if len(changes) == 0 && mirror.timers.Now().Sub(began) < watchWait {
		return spool.ErrCompacted
	}
	changed := false
	for _, change := range changes {
		if change.Deleted {
			changed = mirror.remove(change.Name) || changed
			continue
		}
		changed = mirror.put(change.Object) || changed
	}
	mirror.reached(version, changed)
	return nil
}

// put takes over an object and tells if it is new or newer.
func (mirror *Mirror) put(object spool.Object) bool {
	mirror.mutex.Lock()
	if stop := mirror.missing[object.Name]; stop != nil {
		stop()
		delete(mirror.missing, object.Name)
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

// remove reports a deletion at once, or after a while if an outage of the store may have let the object lapse; it tells if
// the deletion is news.
func (mirror *Mirror) remove(name string) bool {
	news, now := mirror.forget(name)
	if now {
		mirror.observer.ObjectDeleted(name)
	}
	return news
}

// forget drops an object and tells if that is news and if it is to be reported now.
func (mirror *Mirror) forget(name string) (news, now bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if _, known := mirror.objects[name]; !known || mirror.missing[name] != nil {
		return false, false
	}
	if mirror.failed == 0 || mirror.timers.Now().Sub(mirror.failed) > ExpiryGracePeriod {
		delete(mirror.objects, name)
		return true, true
	}
	mirror.missing[name] = mirror.timers.After(ExpiryGracePeriod, spool.TimerFunc(func(spool.Instant) { mirror.expire(name) }))
	return true, false
}

func (mirror *Mirror) expire(name string) {
	mirror.mutex.Lock()
	if mirror.missing[name] == nil {
		mirror.mutex.Unlock()
		return
	}
	delete(mirror.missing, name)
	delete(mirror.objects, name)
	mirror.mutex.Unlock()
	mirror.observer.ObjectDeleted(name)
}

// Stable tells if the store has answered for long enough for lapsed objects to be back.
func (mirror *Mirror) Stable() bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.failures == 0 && (mirror.failed == 0 || mirror.timers.Now().Sub(mirror.failed) > ExpiryGracePeriod)
}

func (mirror *Mirror) fail(err error) {
	mirror.mutex.Lock()
	mirror.failed = mirror.timers.Now()
	mirror.failures++
	report := mirror.failures == lostAfter
	mirror.lost = mirror.lost || report
	mirror.mutex.Unlock()
	if report {
		mirror.observer.StoreReachable(false, err)
	}
}

func (mirror *Mirror) succeed() {
	mirror.mutex.Lock()
	report := mirror.lost
	if mirror.failures > 0 {
		mirror.failed = mirror.timers.Now()
	}
	mirror.failures, mirror.lost = 0, false
	mirror.mutex.Unlock()
	if report {
		mirror.observer.StoreReachable(true, nil)
	}
}

// gather waits for changes that come close together, longer while they go on.
func (mirror *Mirror) gather(ctx context.Context) {
	now := mirror.timers.Now()
	if now.Sub(mirror.gathered) < 2*gatherLongest {
		mirror.gathering = min(2*mirror.gathering, gatherLongest)
	} else {
		mirror.gathering = gatherPause
	}
	mirror.gathered = now
	select {
	case <-ctx.Done():
	case <-time.After(mirror.gathering):
	}
}

// pause waits before the next call, longer with each failure and never in step with other proxies.
func (mirror *Mirror) pause(ctx context.Context) {
	mirror.mutex.Lock()
	longest := min(shortestPause<<min(mirror.failures, 8), longestPause)
	mirror.mutex.Unlock()
	wait := longest/2 + rand.N(longest/2)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
