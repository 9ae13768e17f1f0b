package mirror

import (
	"context"
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// followPeriod is the time between looks whether this proxy has to watch the store itself.
const followPeriod = 300 * time.Millisecond

// Option changes a mirror under construction.
type Option func(*Mirror)

// WithLeaderCheck sets who tells if this proxy watches the store; one that does not gets changes through Apply.
func WithLeaderCheck(lead func() bool) Option { return func(mirror *Mirror) { mirror.lead = lead } }

// Delta is what changed in a copy after a version.
type Delta struct {
	After        spool.Version // version asked for
	Version      spool.Version // that the copy shows
	Objects      []spool.Object
	Names        []string      // of all objects
	SinceFailure time.Duration // since the store last failed; zero if it did not of late
}

// ContentVersion returns the version at which the contents of the copy last changed; zero before it is complete.
func (mirror *Mirror) ContentVersion() spool.Version {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.changed
}

// Version returns the version of the store that the copy shows; zero before it is complete.
func (mirror *Mirror) Version() spool.Version {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.version
}

// DeltaSince returns what changed after a version.
func (mirror *Mirror) DeltaSince(after spool.Version) Delta {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	delta := Delta{After: after, Version: mirror.version}
	for name, object := range mirror.objects {
		if mirror.missing[name] != nil {
			continue
		}
		delta.Names = append(delta.Names, name)
		if object.Version > after {
			delta.Objects = append(delta.Objects, object)
		}
	}
	if age := mirror.timers.Now().Sub(mirror.failed); mirror.failed != 0 && age < ExpiryGracePeriod {
		delta.SinceFailure = max(1, age)
	}
	return delta
}

// Apply takes over the changes of another proxy's copy; one that does not reach on from this copy changes nothing.
func (mirror *Mirror) Apply(delta Delta) {
	mirror.mutex.Lock()
	version := mirror.version
	if delta.SinceFailure != 0 {
		mirror.failed = max(mirror.failed, mirror.timers.Now().Add(-delta.SinceFailure))
	}
	mirror.mutex.Unlock()
	if version == 0 || delta.After > version || delta.Version <= version {
		return
	}
	changed := false
	for _, object := range delta.Objects {
		changed = mirror.put(object) || changed
	}
	for _, name := range mirror.absent(delta.Names, delta.Version) {
		changed = mirror.remove(name) || changed
	}
	mirror.reached(delta.Version, changed)
}

// RecordOutage notes that the store may have been away, so that entries may have lapsed.
func (mirror *Mirror) RecordOutage() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.failed = mirror.timers.Now()
}

// follow waits until this proxy has to watch the store itself and returns the version to watch from.
func (mirror *Mirror) follow(ctx context.Context) (spool.Version, error) {
	for !mirror.lead() {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(followPeriod):
		}
	}
	return mirror.Version(), nil
}

// absent returns the objects that a copy of a version does not have; newer ones may have come since.
func (mirror *Mirror) absent(present []string, version spool.Version) []string {
	known := make(map[string]bool, len(present))
	for _, name := range present {
		known[name] = true
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	var names []string
	for name, object := range mirror.objects {
		if !known[name] && object.Version <= version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
