package lease

import "time"

// Defaults of Config.
const (
	DefaultLength        = 900 * time.Millisecond
	DefaultDrift         = 0.01
	DefaultRenewInterval = 200 * time.Millisecond
	DefaultRetryInterval = 50 * time.Millisecond
	DefaultRoundTimeout  = 150 * time.Millisecond
	DefaultReplaceAfter  = 10 * time.Second
	DefaultCreateTimeout = time.Second
	DefaultReadInterval  = time.Second
)

// Config holds the timing of leases, which must be the same on all proxies of a fleet.
type Config struct {
	Length        time.Duration // lifetime of a vote at the witness
	Drift         float64       // largest relative difference between the rates of two VMs' clocks
	RenewInterval time.Duration // interval between a holder's requests to one witness
	RetryInterval time.Duration // delay per rank of a candidate; the jitter of retries is up to half of it
	RoundTimeout  time.Duration // longest wait of a candidate for a majority before it releases its votes
	ReplaceAfter  time.Duration // absence after which a member of the quorum is replaced
	CreateTimeout time.Duration // longest wait for three failure domains before the quorum is created
	ReadInterval  time.Duration // interval between reads of the platform while the quorum is unknown

	countFromArrival bool // fault for tests: the holder counts a vote from the arrival of its answer
	voteAtStart      bool // fault for tests: the witness does not abstain after its start
	completeAtOnce   bool // fault for tests: a change of the quorum completes without waiting for old votes
}

// DefaultConfig returns the configuration used unless an option changes it.
func DefaultConfig() Config {
	return Config{
		Length:        DefaultLength,
		Drift:         DefaultDrift,
		RenewInterval: DefaultRenewInterval,
		RetryInterval: DefaultRetryInterval,
		RoundTimeout:  DefaultRoundTimeout,
		ReplaceAfter:  DefaultReplaceAfter,
		CreateTimeout: DefaultCreateTimeout,
		ReadInterval:  DefaultReadInterval,
	}
}

// Option changes a Config.
type Option func(*Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option {
	return func(target *Config) { *target = config }
}

// WithLength sets the lifetime of a vote.
func WithLength(length time.Duration) Option {
	return func(config *Config) { config.Length = length }
}

// WithRenewInterval sets the interval between a holder's requests to one witness.
func WithRenewInterval(interval time.Duration) Option {
	return func(config *Config) { config.RenewInterval = interval }
}

func newConfig(options []Option) Config {
	config := DefaultConfig()
	for _, option := range options {
		option(&config)
	}
	return config
}

// holderLifetime returns how long a holder may rely on a vote, counted from sending the request.
func (config Config) holderLifetime() time.Duration {
	return time.Duration(float64(config.Length) * (1 - config.Drift))
}

// maxVoteLifetime returns the time after which a vote has ended on every VM's clock despite drift.
func (config Config) maxVoteLifetime() time.Duration {
	return time.Duration(float64(config.Length) * (1 + 2*config.Drift))
}
