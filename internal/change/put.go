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

// update is one conditional update in progress.
type update struct {
	platform     spool.Platform
	timers       spool.Timers
	object       spool.Object
	maybeApplied bool  // the answer of an earlier attempt was lost
	lastErr      error // of the newest failed attempt
}

// Put writes the object if its stored version is object.Version and returns it with its new version.
//
// After a lost answer Put reads the stored object and repeats the update only under the same condition, so that it takes
// effect at most once. It also succeeds if another writer stored the same body in the meantime. Errors are *ConflictError,
// *UnknownOutcomeError and those of a call that had no effect.
func Put(ctx context.Context, platform spool.Platform, timers spool.Timers, object spool.Object) (spool.Object, error) {
	update := &update{platform: platform, timers: timers, object: object}
	delay := firstDelay
	for {
		stored, done, err := update.attempt(ctx)
		if done {
			return stored, err
		}
		if clock.Wait(ctx, timers, delay) != nil {
			return spool.Object{}, update.outcomeError()
		}
		delay = min(2*delay, maxDelay)
	}
}

// attempt sends the update once and reads the stored object if the answer leaves the outcome open.
func (update *update) attempt(ctx context.Context) (stored spool.Object, done bool, err error) {
	stored, err = update.platform.Put(ctx, update.object)
	if err == nil {
		return stored, true, nil
	}
	update.lastErr = err
	var refused interface{ Refused() bool }
	switch {
	case errors.Is(err, spool.ErrConflict):
	case errors.Is(err, spool.ErrNotFound):
		return spool.Object{}, true, &ConflictError{MaybeApplied: update.maybeApplied}
	case errors.As(err, &refused) && refused.Refused():
		return spool.Object{}, true, update.outcomeError()
	default:
		update.maybeApplied = true
	}
	return update.resolve(ctx)
}

// resolve derives the outcome from the stored object; a read that still returns the expected version may be stale.
func (update *update) resolve(ctx context.Context) (stored spool.Object, done bool, err error) {
	current, err := update.platform.Get(ctx, update.object.Kind, update.object.Name)
	if err != nil && !errors.Is(err, spool.ErrNotFound) {
		return spool.Object{}, false, nil
	}
	if current.Version <= update.object.Version {
		return spool.Object{}, false, nil
	}
	if EqualJSON(current.Body, update.object.Body) {
		return current, true, nil
	}
	return spool.Object{}, true, &ConflictError{StoredVersion: current.Version, MaybeApplied: update.maybeApplied}
}

// outcomeError returns the error that describes the outcome of the attempts so far.
func (update *update) outcomeError() error {
	if update.maybeApplied {
		return &UnknownOutcomeError{Cause: update.lastErr}
	}
	if errors.Is(update.lastErr, spool.ErrConflict) {
		return &ConflictError{}
	}
	return update.lastErr
}
