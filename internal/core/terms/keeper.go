package terms

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Defaults of Config.
const (
	DefaultSuspectAfter = 300 * time.Millisecond
	DefaultFresh        = 150 * time.Millisecond
	DefaultRefusals     = 2
	DefaultProbeEvery   = 50 * time.Millisecond
	DefaultProbeTimeout = 250 * time.Millisecond
	DefaultOrderTimeout = 400 * time.Millisecond
	DefaultPlatformWait = 500 * time.Millisecond
	DefaultFollowEvery  = 500 * time.Millisecond
	DefaultBackOff      = 3 * time.Second
)

// Config holds the times of a Keeper.
type Config struct {
	SuspectAfter time.Duration // silence of the primary after which it is suspected
	Fresh        time.Duration // age up to which a replica's status counts in a promotion
	Refusals     int           // consecutive refused polls after which the primary is suspected
	ProbeEvery   time.Duration // between two probes through one proxy
	ProbeTimeout time.Duration // age up to which a probe's answer counts
	OrderTimeout time.Duration // after which a promotion is tried with another candidate
	PlatformWait time.Duration // after which a call to the platform counts as unanswered
	FollowEvery  time.Duration // between two orders to one replica
	BackOff      time.Duration // after giving the lease up in favour of a proxy that reaches the primary
}

// Option changes a Config.
type Option func(*Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option {
	return func(target *Config) { *target = config }
}

// Keeper decides for one group at one proxy.
type Keeper struct {
	group  spool.Group
	self   spool.VM
	config Config
}

// NewKeeper returns a keeper that waits for LeaseGained; nonce tells the writes of this start of the VM from all others.
func NewKeeper(group spool.Group, self spool.VM, nonce uint64, options ...Option) *Keeper {
	return &Keeper{group: group, self: self}
}

// Handle takes in one event and returns what to do, in order.
func (keeper *Keeper) Handle(event Event, now spool.Instant) []Effect { return nil }

// OpenTerm returns the term that may be acknowledged while the lease is held, or zero.
func (keeper *Keeper) OpenTerm() spool.Term { return 0 }

// Primary returns the primary of the open term, or the empty name.
func (keeper *Keeper) Primary() spool.Server { return "" }
