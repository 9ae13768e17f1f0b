package bulk

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/spread"
	"corianderspool.example/spool/pkg/spool"
)

// Peers is the access to the other proxies of the fleet.
type Peers interface {
	// Open opens a data stream to a proxy.
	Open(ctx context.Context, vm spool.VM) (net.Conn, error)
	// Locate returns the failure domain of a proxy and how far away it is.
	Locate(vm spool.VM) (spool.Domain, spread.Distance)
	// RequestWhole requests the object by a control message, from a proxy of an older version.
	RequestWhole(vm spool.VM)
}

// ApplyFunc puts a version in effect and calls Publish; remote reports that it came from another region. It returns an error
// if the body is malformed, and nil also if a newer version is in effect.
type ApplyFunc func(object spool.Object, version uint64, remote bool) error

// Observer counts transfers; it must be safe for concurrent use.
type Observer interface {
	// Fetched reports how a fetch ended.
	Fetched(outcome string)
	// Served reports how a request was answered, and the bytes sent.
	Served(to spool.VM, outcome string, bytes int)
}

// Sample is the state of a distributor.
type Sample struct {
	InEffect  uint64
	Newest    uint64        // announced
	NewestAge time.Duration // since it was first announced; zero if it is in effect
	Fetching  int           // transfers in progress
	Serving   int
}

// Distributor fetches newer versions of one object from other proxies and serves them; it is safe for concurrent use.
type Distributor struct {
	kind, name string
	timers     spool.Timers
	peers      Peers
	apply      ApplyFunc
	bandwidth  float64
	logger     *zap.Logger
	observer   Observer
	wake       chan struct{}

	mutex   sync.Mutex
	fetcher *spread.Fetcher
	server  *spread.Server
	library spread.Library

	packing     sync.Mutex // held while a body is compressed, so that one is at a time
	packed      map[uint64][]byte
	packedOrder []uint64 // hashes of the bases, oldest first
	packedFor   uint64   // hash of the body in packed
}

// Option configures a distributor.
type Option func(*Distributor)

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option {
	return func(distributor *Distributor) { distributor.logger = logger }
}

// WithObserver sets the observer; the default counts nothing.
func WithObserver(observer Observer) Option {
	return func(distributor *Distributor) { distributor.observer = observer }
}

// WithBandwidth sets the bandwidth of the link in bytes a second; zero means unknown.
func WithBandwidth(bandwidth float64) Option {
	return func(distributor *Distributor) { distributor.bandwidth = bandwidth }
}

// New returns a distributor of the object with a kind and name.
func New(kind, name string, timers spool.Timers, peers Peers, apply ApplyFunc, options ...Option) *Distributor {
	distributor := &Distributor{
		kind: kind, name: name, timers: timers, peers: peers, apply: apply, logger: zap.NewNop(), observer: noObserver{},
		wake: make(chan struct{}, 1), fetcher: spread.NewFetcher(rand.Int64N),
	}
	for _, option := range options {
		option(distributor)
	}
	if distributor.bandwidth <= 0 {
		distributor.bandwidth = spread.DefaultBandwidth
	}
	distributor.server = spread.NewServer(distributor.bandwidth, rand.Int64N)
	return distributor
}

type noObserver struct{}

func (noObserver) Fetched(string)               {}
func (noObserver) Served(spool.VM, string, int) {}

// Run fetches newer versions until the context ends.
func (distributor *Distributor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := distributor.timers.Now()
		distributor.mutex.Lock()
		fetch, due, at := distributor.fetcher.Next(now)
		distributor.mutex.Unlock()
		if due {
			distributor.fetch(ctx, fetch)
			continue
		}
		distributor.pause(ctx, now, at)
	}
}

// pause waits until an instant, if it is not zero, or until something is announced.
func (distributor *Distributor) pause(ctx context.Context, now, at spool.Instant) {
	var elapsed <-chan time.Time
	if at != 0 {
		timer := time.NewTimer(at.Sub(now))
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ctx.Done():
	case <-distributor.wake:
	case <-elapsed:
	}
}

// Announce records the version that a proxy has.
func (distributor *Distributor) Announce(vm spool.VM, version uint64) {
	_, distance := distributor.peers.Locate(vm)
	distributor.mutex.Lock()
	distributor.fetcher.Announce(vm, distance, version, distributor.timers.Now())
	newer := version > distributor.fetcher.Held()
	distributor.mutex.Unlock()
	if newer {
		distributor.notify()
	}
}

// Publish records the version that is in effect, wherever it came from.
func (distributor *Distributor) Publish(object spool.Object, version uint64) {
	hash := contentHash(object.Version, object.Body)
	now := distributor.timers.Now()
	distributor.mutex.Lock()
	distributor.add(spread.Copy{Version: version, Stored: object.Version, Hash: hash, Body: object.Body}, now)
	distributor.fetcher.Hold(version, now)
	distributor.mutex.Unlock()
	distributor.notify()
}

// add makes a version available to others; distributor.mutex is locked.
func (distributor *Distributor) add(added spread.Copy, now spool.Instant) {
	if distributor.library.Add(added, now) {
		distributor.server.Publish(added.Version)
	}
}

func (distributor *Distributor) notify() {
	select {
	case distributor.wake <- struct{}{}:
	default:
	}
}

// Sample returns the current state.
func (distributor *Distributor) Sample() Sample {
	now := distributor.timers.Now()
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	newest, since := distributor.fetcher.Newest()
	sample := Sample{InEffect: distributor.fetcher.Held(), Newest: newest, Serving: distributor.server.InProgress()}
	if newest > sample.InEffect {
		sample.NewestAge = now.Sub(since)
	}
	if distributor.fetcher.InProgress() {
		sample.Fetching = 1
	}
	return sample
}
