package terms

import "time"

// Defaults of Config.
const (
	DefaultSuspectAfter  = 300 * time.Millisecond
	DefaultRefusals      = 2
	DefaultFresh         = 150 * time.Millisecond
	DefaultProbeEvery    = 50 * time.Millisecond
	DefaultProbeTimeout  = 250 * time.Millisecond
	DefaultYieldAfter    = 100 * time.Millisecond
	DefaultBackOff       = 3 * time.Second
	DefaultPlatformGone  = 1 * time.Second
	DefaultOrderRetry    = 50 * time.Millisecond
	DefaultOrderTimeout  = 400 * time.Millisecond
	DefaultOrderFailures = 3
	DefaultShun          = 2 * time.Second
	DefaultPlatformWait  = 500 * time.Millisecond
	DefaultPlatformRetry = 200 * time.Millisecond
	DefaultFollowEvery   = 500 * time.Millisecond
	DefaultPauseGap      = 100 * time.Millisecond
	DefaultDrain         = 500 * time.Millisecond
	DefaultCatchUp       = time.Second
)

// Config holds the times of a Leader.
type Config struct {
	SuspectAfter  time.Duration // silence of the primary after which it is suspected
	Refusals      int           // consecutive refused polls after which the primary is suspected
	Fresh         time.Duration // age up to which a server's status counts in a promotion
	ProbeEvery    time.Duration // between two probes through one proxy
	ProbeTimeout  time.Duration // age up to which a probe's answer counts
	YieldAfter    time.Duration // suspicion's age before a majority that reaches the primary is given way to
	BackOff       time.Duration // after giving the lease up in favour of a proxy that reaches the primary or the platform
	PlatformGone  time.Duration // without an answer of the platform before a lease that needs one is given up
	OrderRetry    time.Duration // between two orders to promote one candidate
	OrderTimeout  time.Duration // after which an order counts as failed
	OrderFailures int           // failed orders after which another candidate is promoted
	Shun          time.Duration // for which a failed candidate is the last choice
	PlatformWait  time.Duration // after which a call to the platform counts as unanswered
	PlatformRetry time.Duration // between two tries while the platform does not answer
	FollowEvery   time.Duration // between two orders to one replica
	Drain         time.Duration // for which running work on a leaving primary may end
	CatchUp       time.Duration // for which a replica may catch up with a leaving primary
	PauseGap      time.Duration // time without any event after which the proxy counts as having been paused

	noVote   bool // for tests: opens a term without a round of votes
	noProbes bool // for tests: replaces a primary on this proxy's view alone
}

// DefaultConfig returns the configuration used unless an option changes it.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:  DefaultSuspectAfter,
		Refusals:      DefaultRefusals,
		Fresh:         DefaultFresh,
		ProbeEvery:    DefaultProbeEvery,
		ProbeTimeout:  DefaultProbeTimeout,
		YieldAfter:    DefaultYieldAfter,
		BackOff:       DefaultBackOff,
		PlatformGone:  DefaultPlatformGone,
		OrderRetry:    DefaultOrderRetry,
		OrderTimeout:  DefaultOrderTimeout,
		OrderFailures: DefaultOrderFailures,
		Shun:          DefaultShun,
		PlatformWait:  DefaultPlatformWait,
		PlatformRetry: DefaultPlatformRetry,
		FollowEvery:   DefaultFollowEvery,
		PauseGap:      DefaultPauseGap,
		Drain:         DefaultDrain,
		CatchUp:       DefaultCatchUp,
	}
}

// Option changes a Config.
type Option func(*Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option {
	return func(target *Config) { *target = config }
}
