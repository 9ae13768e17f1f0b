package terms

import "time"

// Defaults of Config.
const (
	DefaultSuspectAfter       = 300 * time.Millisecond
	DefaultMaxRefusals        = 2
	DefaultMaxStatusAge       = 150 * time.Millisecond
	DefaultProbeInterval      = 50 * time.Millisecond
	DefaultProbeTimeout       = 250 * time.Millisecond
	DefaultYieldAfter         = 100 * time.Millisecond
	DefaultYieldBackoff       = 3 * time.Second
	DefaultPlatformLostAfter  = 1 * time.Second
	DefaultPromoteRetry       = 50 * time.Millisecond
	DefaultPromoteTimeout     = 400 * time.Millisecond
	DefaultMaxPromoteFailures = 3
	DefaultCandidateBackoff   = 2 * time.Second
	DefaultPlatformTimeout    = 500 * time.Millisecond
	DefaultPlatformRetry      = 200 * time.Millisecond
	DefaultFollowInterval     = 500 * time.Millisecond
	DefaultPauseThreshold     = 100 * time.Millisecond
	DefaultDrainTimeout       = 500 * time.Millisecond
	DefaultCatchUpTimeout     = time.Second
)

// Config holds the timeouts, intervals and limits of a Leader.
type Config struct {
	SuspectAfter       time.Duration // time without an answer after which the primary is suspected
	MaxRefusals        int           // refused polls since the last answer after which the primary is suspected
	MaxStatusAge       time.Duration // age at which a server's status is stale
	ProbeInterval      time.Duration // time between two probes through one proxy
	ProbeTimeout       time.Duration // age at which a probe and its answer are dropped
	YieldAfter         time.Duration // age of a suspicion before the lease is yielded if a majority reaches the primary
	YieldBackoff       time.Duration // time before a yielded lease is sought again, in which a better connected proxy can win it
	PlatformLostAfter  time.Duration // time without an answer from the platform before a lease that needs one is yielded
	PromoteRetry       time.Duration // time between two promote orders to one candidate
	PromoteTimeout     time.Duration // time after which an unanswered promote order counts as failed
	MaxPromoteFailures int           // failed promote orders after which another candidate is chosen
	CandidateBackoff   time.Duration // time for which a failed candidate is a last resort
	PlatformTimeout    time.Duration // time after which a call to the platform counts as failed
	PlatformRetry      time.Duration // time between two reads while the platform does not answer
	FollowInterval     time.Duration // time between two follow orders to one replica
	DrainTimeout       time.Duration // time that running requests on a leaving primary get to finish
	CatchUpTimeout     time.Duration // time that a replica gets to catch up with a leaving primary
	PauseThreshold     time.Duration // time between two events beyond which this proxy itself counts as paused

	noVote   bool // for tests: opens a promoted term without a majority's votes
	noProbes bool // for tests: replaces a suspected primary without probes
}

// DefaultConfig returns the configuration used unless an option changes it.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:       DefaultSuspectAfter,
		MaxRefusals:        DefaultMaxRefusals,
		MaxStatusAge:       DefaultMaxStatusAge,
		ProbeInterval:      DefaultProbeInterval,
		ProbeTimeout:       DefaultProbeTimeout,
		YieldAfter:         DefaultYieldAfter,
		YieldBackoff:       DefaultYieldBackoff,
		PlatformLostAfter:  DefaultPlatformLostAfter,
		PromoteRetry:       DefaultPromoteRetry,
		PromoteTimeout:     DefaultPromoteTimeout,
		MaxPromoteFailures: DefaultMaxPromoteFailures,
		CandidateBackoff:   DefaultCandidateBackoff,
		PlatformTimeout:    DefaultPlatformTimeout,
		PlatformRetry:      DefaultPlatformRetry,
		FollowInterval:     DefaultFollowInterval,
		PauseThreshold:     DefaultPauseThreshold,
		DrainTimeout:       DefaultDrainTimeout,
		CatchUpTimeout:     DefaultCatchUpTimeout,
	}
}

// Option changes a Config.
type Option func(*Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option {
	return func(target *Config) { *target = config }
}
