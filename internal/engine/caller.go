package engine

import (
	"context"
	"sync"
	"sync/atomic"

	"corianderspool.example/spool/pkg/spool"
)

// callerContext is the context of one command; it ends when the caller closes its connection. It watches the connection only
// from the first use of Done, that is from when the command waits for a token or a connection to a server.
type callerContext struct {
	context.Context // of the session
	caller          spool.CallerConn
	once            sync.Once
	watched         atomic.Pointer[watchedContext]
}

// watchedContext is a context that ends when a caller closes its connection.
type watchedContext struct {
	context.Context
	stop func()
}

func newCallerContext(ctx context.Context, caller spool.CallerConn) *callerContext {
	return &callerContext{Context: ctx, caller: caller}
}

// Done starts to watch the caller.
func (callerContext *callerContext) Done() <-chan struct{} {
	callerContext.once.Do(callerContext.watch)
	return callerContext.watched.Load().Done()
}

func (callerContext *callerContext) watch() {
	ctx, cancel := context.WithCancel(callerContext.Context)
	watched := &watchedContext{Context: ctx, stop: cancel}
	if watcher, ok := callerContext.caller.(spool.CloseWatcher); ok {
		stopWatch := watcher.WatchClose(cancel)
		watched.stop = func() {
			stopWatch()
			cancel()
		}
	}
	callerContext.watched.Store(watched)
}

// Err returns the reason why the context ended, or nil.
func (callerContext *callerContext) Err() error {
	if watched := callerContext.watched.Load(); watched != nil {
		return watched.Err()
	}
	return callerContext.Context.Err()
}

// Value returns the value of a key, so that derived contexts attach to the watched one without a goroutine each.
func (callerContext *callerContext) Value(key any) any {
	if watched := callerContext.watched.Load(); watched != nil {
		return watched.Value(key)
	}
	return callerContext.Context.Value(key)
}

// stop ends the watch; it must be called before the next message of the caller is received.
func (callerContext *callerContext) stop() {
	if watched := callerContext.watched.Load(); watched != nil {
		watched.stop()
	}
}
