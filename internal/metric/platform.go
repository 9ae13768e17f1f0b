package metric

import (
	"context"
	"errors"

	"corianderspool.example/spool/pkg/spool"
)

// Names of the object API's calls and results as values of labels.
const (
	callGet   = "get"
	callPing  = "ping"
	callList  = "list"
	callPut   = "put"
	callWatch = "watch"

	callCreate = "create"
	callDelete = "delete"

	kindsWatched = "watched"

	resultDone     = "done"
	resultConflict = "conflict"
	resultNotFound = "not_found"
	resultCanceled = "canceled"
	resultFailed   = "failed"
)

// platform counts the calls of an object API.
type platform struct {
	spool.Platform
	metrics *Metrics
	told    func(err error)
}

// InstrumentPlatform returns a platform that counts its calls and tells what became of each; a call that its caller canceled is
// counted and not told.
func (metrics *Metrics) InstrumentPlatform(counted spool.Platform, told func(err error)) spool.Platform {
	return &platform{Platform: counted, metrics: metrics, told: told}
}

// Get returns the object or spool.ErrNotFound.
func (platform *platform) Get(ctx context.Context, kind, name string) (spool.Object, error) {
	object, err := platform.Platform.Get(ctx, kind, name)
	platform.count(ctx, callGet, kind, err)
	return object, err
}

// List returns the objects of a kind and the version that the list shows.
func (platform *platform) List(ctx context.Context, kind string) ([]spool.Object, spool.Version, error) {
	objects, version, err := platform.Platform.List(ctx, kind)
	platform.count(ctx, callList, kind, err)
	return objects, version, err
}

// Put writes the object under its condition.
func (platform *platform) Put(ctx context.Context, object spool.Object) (spool.Object, error) {
	written, err := platform.Platform.Put(ctx, object)
	platform.count(ctx, callPut, object.Kind, err)
	return written, err
}

// Watch waits for changes of the kinds after a version.
func (platform *platform) Watch(
	ctx context.Context, kinds []string, after spool.Version,
) ([]spool.Object, spool.Version, error) {
	objects, version, err := platform.Platform.Watch(ctx, kinds, after)
	platform.count(ctx, callWatch, kindsWatched, err)
	return objects, version, err
}

func (platform *platform) count(ctx context.Context, call, kind string, err error) {
	result := platform.metrics.countCall(ctx, call, kind, err)
	switch result {
	case resultFailed:
		platform.told(err)
	case resultDone, resultConflict, resultNotFound:
		platform.told(nil)
	}
}

// countCall counts a call of an object API by its result, which it returns.
func (metrics *Metrics) countCall(ctx context.Context, call, kind string, err error) string {
	result := resultFailed
	switch {
	case err == nil:
		result = resultDone
	case errors.Is(err, spool.ErrConflict):
		result = resultConflict
	case errors.Is(err, spool.ErrNotFound):
		result = resultNotFound
	case errors.Is(ctx.Err(), context.Canceled):
		result = resultCanceled
	}
	metrics.platformCalls.WithLabelValues(call, kind, result).Inc()
	return result
}
