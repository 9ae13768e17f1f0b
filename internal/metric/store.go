package metric

import (
	"context"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// store counts the calls of an object API that watches one kind at a time.
type store struct {
	spool.Store
	metrics *Metrics
}

// InstrumentStore returns a store that counts its calls.
func (metrics *Metrics) InstrumentStore(counted spool.Store) spool.Store {
	return &store{Store: counted, metrics: metrics}
}

// Get returns the object or spool.ErrNotFound.
func (store *store) Get(ctx context.Context, kind, name string) (spool.Object, error) {
	object, err := store.Store.Get(ctx, kind, name)
	store.metrics.countCall(ctx, callGet, kind, err)
	return object, err
}

// Ping reads an object, which may be old.
func (store *store) Ping(ctx context.Context, kind, name string) error {
	err := store.Store.Ping(ctx, kind, name)
	store.metrics.countCall(ctx, callPing, kind, err)
	return err
}

// List returns the objects of a kind and the version that the list shows.
func (store *store) List(ctx context.Context, kind string) ([]spool.Object, spool.Version, error) {
	objects, version, err := store.Store.List(ctx, kind)
	store.metrics.countCall(ctx, callList, kind, err)
	return objects, version, err
}

// Create writes an object that does not exist yet.
func (store *store) Create(ctx context.Context, object spool.Object) (spool.Object, error) {
	written, err := store.Store.Create(ctx, object)
	store.metrics.countCall(ctx, callCreate, object.Kind, err)
	return written, err
}

// Put writes the object under its condition.
func (store *store) Put(ctx context.Context, object spool.Object) (spool.Object, error) {
	written, err := store.Store.Put(ctx, object)
	store.metrics.countCall(ctx, callPut, object.Kind, err)
	return written, err
}

// Delete removes the object under its condition.
func (store *store) Delete(ctx context.Context, object spool.Object) error {
	err := store.Store.Delete(ctx, object)
	store.metrics.countCall(ctx, callDelete, object.Kind, err)
	return err
}

// Watch waits for changes of a kind after a version.
func (store *store) Watch(
	ctx context.Context, kind string, after spool.Version, wait time.Duration,
) ([]spool.Change, spool.Version, error) {
	changes, version, err := store.Store.Watch(ctx, kind, after, wait)
	store.metrics.countCall(ctx, callWatch, kind, err)
	return changes, version, err
}
