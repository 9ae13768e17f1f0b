package mirror

import (
	"context"
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// leaderCheckPeriod is the interval of checks whether this proxy has to watch the store itself.
const leaderCheckPeriod = 300 * time.Millisecond

// Option configures a Mirror.
type Option func(*Mirror)

// WithLeaderCheck sets the function that reports whether this proxy watches the store; otherwise it gets changes through
// Apply.
func WithLeaderCheck(isLeader func() bool) Option {
	return func(mirror *Mirror) { mirror.isLeader = isLeader }
}

// Delta holds the changes of a copy after a version.
type Delta struct {
	After        spool.Version // version that the changes follow
	Version      spool.Version // version that the copy reflects
	Objects      []spool.Object
	Names        []string      // of all objects
	SinceFailure time.Duration // since the store last failed; zero if it did not fail recently
}

// ContentVersion returns the version at which the contents of the copy last changed; zero before the first list.
func (mirror *Mirror) ContentVersion() spool.Version {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.contentVersion
}

// Version returns the version of the store that the copy reflects; zero before the first list.
func (mirror *Mirror) Version() spool.Version {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.version
}

// DeltaSince returns the changes after a version.
func (mirror *Mirror) DeltaSince(after spool.Version) Delta {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	delta := Delta{After: after, Version: mirror.version}
	for name, object := range mirror.objects {
		if mirror.expiring[name] != nil {
			continue
		}
		delta.Names = append(delta.Names, name)
		if object.Version > after {
			delta.Objects = append(delta.Objects, object)
		}
	}
	if age := mirror.timers.Now().Sub(mirror.failedAt); mirror.failedAt != 0 && age < ExpiryGracePeriod {
		delta.SinceFailure = max(1, age)
	}
	return delta
}

// Apply applies the changes of another proxy's copy, unless they leave a gap after this copy's version or are not newer.
func (mirror *Mirror) Apply(delta Delta) {
	mirror.mutex.Lock()
	version := mirror.version
	if delta.SinceFailure != 0 {
		mirror.failedAt = max(mirror.failedAt, mirror.timers.Now().Add(-delta.SinceFailure))
	}
	mirror.mutex.Unlock()
	if version == 0 || delta.After > version || delta.Version <= version {
		return
	}
	mirror.noteEra(delta.Version)
	changed := false
	for _, object := range delta.Objects {
		changed = mirror.putObject(object) || changed
	}
	for _, name := range mirror.absentNames(delta.Names, delta.Version) {
		changed = mirror.removeObject(name) || changed
	}
	mirror.advance(delta.Version, changed)
}

// RecordOutage records that the store may have been unavailable, so that entries may have expired.
func (mirror *Mirror) RecordOutage() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.failedAt = mirror.timers.Now()
}

// awaitLeadership waits until this proxy has to watch the store itself and returns the version to watch from.
func (mirror *Mirror) awaitLeadership(ctx context.Context) (spool.Version, error) {
	for !mirror.isLeader() {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(leaderCheckPeriod):
		}
	}
	return mirror.Version(), nil
}

// absentNames returns the sorted names of the objects that are not present as of a version; newer objects are kept.
func (mirror *Mirror) absentNames(present []string, version spool.Version) []string {
	isPresent := make(map[string]bool, len(present))
	for _, name := range present {
		isPresent[name] = true
	}
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	var names []string
	for name, object := range mirror.objects {
		if !isPresent[name] && object.Version <= version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
