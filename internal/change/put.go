package change

import (
	"context"
	"errors"
	"time"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

// Delays between attempts.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = 2 * time.Second
)

// put is one conditional update on its way.
type put struct {
	platform spool.Platform
	timers   spool.Timers
	object   spool.Object
	unclear  bool  // the answer of an earlier attempt was lost
	cause    error // the last failure
}

// Put writes the object if its stored version is object.Version and returns it with its new version.
//
// A lost answer is followed by a read: Put concludes from what is stored and repeats the update only under the same
// condition, so that it takes effect at most once. It also succeeds if someone else stored the same body meanwhile.
// Errors are *Conflict, *Unknown and those of a call that had no effect.
func Put(ctx context.Context, platform spool.Platform, timers spool.Timers, object spool.Object) (spool.Object, error) {
	put := &put{platform: platform, timers: timers, object: object}
	delay := firstDelay
	for {
		stored, done, err := put.attempt(ctx)
		if done {
			return stored, err
		}
		if clock.Wait(ctx, timers, delay) != nil {
			return spool.Object{}, put.giveUp()
		}
		delay = min(2*delay, maxDelay)
	}
}

// attempt tries once and reads what is stored if the answer does not settle the matter.
func (put *put) attempt(ctx context.Context) (stored spool.Object, done bool, err error) {
	stored, err = put.platform.Put(ctx, put.object)
	if err == nil {
		return stored, true, nil
	}
	put.cause = err
	var refused interface{ Refused() bool }
	switch {
	case errors.Is(err, spool.ErrConflict):
	case errors.Is(err, spool.ErrNotFound):
		return spool.Object{}, true, &ConflictError{MaybeApplied: put.unclear}
	case errors.As(err, &refused) && refused.Refused():
		return spool.Object{}, true, put.giveUp()
	default:
		put.unclear = true
	}
	return put.compare(ctx)
}

// compare concludes from the stored object; a read that still shows the condition's version may be stale.
func (put *put) compare(ctx context.Context) (stored spool.Object, done bool, err error) {
	current, err := put.platform.Get(ctx, put.object.Kind, put.object.Name)
	if err != nil && !errors.Is(err, spool.ErrNotFound) {
		return spool.Object{}, false, nil
	}
	if current.Version <= put.object.Version {
		return spool.Object{}, false, nil
	}
	if EqualJSON(current.Body, put.object.Body) {
		return current, true, nil
	}
	return spool.Object{}, true, &ConflictError{StoredVersion: current.Version, MaybeApplied: put.unclear}
}

// giveUp returns the error that is true after the attempts so far.
func (put *put) giveUp() error {
	if put.unclear {
		return &UnknownOutcomeError{Cause: put.cause}
	}
	if errors.Is(put.cause, spool.ErrConflict) {
		return &ConflictError{}
	}
	return put.cause
}
