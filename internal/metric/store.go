package metric

import (
	"context"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// countingStore counts the calls of a store.
type countingStore struct {
	spool.Store
	metrics *Metrics
	report  func(err error)
}

// InstrumentStore returns a store that counts its calls and reports the result of each before the call returns.
func (metrics *Metrics) InstrumentStore(counted spool.Store, report func(err error)) spool.Store {
	return &countingStore{Store: counted, metrics: metrics, report: report}
}

func (countingStore *countingStore) count(ctx context.Context, call, kind string, err error) {
	countingStore.metrics.countCall(ctx, call, kind, err)
	countingStore.report(err)
}

// Get returns an object, or spool.ErrNotFound if it does not exist.
func (countingStore *countingStore) Get(ctx context.Context, kind, name string) (spool.Object, error) {
	object, err := countingStore.Store.Get(ctx, kind, name)
	countingStore.count(ctx, callGet, kind, err)
	return object, err
}

// Ping tests the store with a stale read.
func (countingStore *countingStore) Ping(ctx context.Context, kind, name string) error {
	err := countingStore.Store.Ping(ctx, kind, name)
	countingStore.count(ctx, callPing, kind, err)
	return err
}

// List returns the objects of a kind and the version of the list.
func (countingStore *countingStore) List(ctx context.Context, kind string) ([]spool.Object, spool.Version, error) {
	objects, version, err := countingStore.Store.List(ctx, kind)
	countingStore.count(ctx, callList, kind, err)
	return objects, version, err
}

// Create writes a new object.
func (countingStore *countingStore) Create(ctx context.Context, object spool.Object) (spool.Object, error) {
	written, err := countingStore.Store.Create(ctx, object)
	countingStore.count(ctx, callCreate, object.Kind, err)
	return written, err
}

// Put writes the object if its stored version is object.Version.
func (countingStore *countingStore) Put(ctx context.Context, object spool.Object) (spool.Object, error) {
	written, err := countingStore.Store.Put(ctx, object)
	countingStore.count(ctx, callPut, object.Kind, err)
	return written, err
}

// Delete removes the object if its stored version is object.Version.
func (countingStore *countingStore) Delete(ctx context.Context, object spool.Object) error {
	err := countingStore.Store.Delete(ctx, object)
	countingStore.count(ctx, callDelete, object.Kind, err)
	return err
}

// Watch waits for changes of a kind after a version.
func (countingStore *countingStore) Watch(
	ctx context.Context, kind string, after spool.Version, wait time.Duration,
) ([]spool.Change, spool.Version, error) {
	changes, version, err := countingStore.Store.Watch(ctx, kind, after, wait)
	countingStore.count(ctx, callWatch, kind, err)
	return changes, version, err
}
