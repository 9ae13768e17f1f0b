package metric

import (
	"context"
	"errors"

	"corianderspool.example/spool/pkg/spool"
)

// Label values for the calls of the object API and their results.
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

// countingPlatform counts the calls of an object API.
type countingPlatform struct {
	spool.Platform
	metrics *Metrics
	report  func(err error)
}

// InstrumentPlatform returns a platform that counts its calls and reports the result of each; a call that its caller canceled
// is counted but not reported.
func (metrics *Metrics) InstrumentPlatform(counted spool.Platform, report func(err error)) spool.Platform {
	return &countingPlatform{Platform: counted, metrics: metrics, report: report}
}

// Get returns an object, or spool.ErrNotFound if it does not exist.
func (countingPlatform *countingPlatform) Get(ctx context.Context, kind, name string) (spool.Object, error) {
	object, err := countingPlatform.Platform.Get(ctx, kind, name)
	countingPlatform.count(ctx, callGet, kind, err)
	return object, err
}

// List returns the objects of a kind and the version of the list.
func (countingPlatform *countingPlatform) List(ctx context.Context, kind string) ([]spool.Object, spool.Version, error) {
	objects, version, err := countingPlatform.Platform.List(ctx, kind)
	countingPlatform.count(ctx, callList, kind, err)
	return objects, version, err
}

// Put writes the object if its stored version is object.Version.
func (countingPlatform *countingPlatform) Put(ctx context.Context, object spool.Object) (spool.Object, error) {
	written, err := countingPlatform.Platform.Put(ctx, object)
	countingPlatform.count(ctx, callPut, object.Kind, err)
	return written, err
}

// Watch waits for changes of the kinds after a version.
func (countingPlatform *countingPlatform) Watch(
	ctx context.Context, kinds []string, after spool.Version,
) ([]spool.Object, spool.Version, error) {
	objects, version, err := countingPlatform.Platform.Watch(ctx, kinds, after)
	countingPlatform.count(ctx, callWatch, kindsWatched, err)
	return objects, version, err
}

func (countingPlatform *countingPlatform) count(ctx context.Context, call, kind string, err error) {
	result := countingPlatform.metrics.countCall(ctx, call, kind, err)
	switch result {
	case resultFailed:
		countingPlatform.report(err)
	case resultDone, resultConflict, resultNotFound:
		countingPlatform.report(nil)
	}
}

// countCall counts a call of an object API by its result and returns the result.
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
