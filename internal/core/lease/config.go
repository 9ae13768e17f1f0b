package lease

import "time"

// Defaults of Config.
const (
	DefaultLength       = 900 * time.Millisecond
	DefaultDrift        = 0.01
	DefaultRenew        = 200 * time.Millisecond
	DefaultRetry        = 50 * time.Millisecond
	DefaultRoundTimeout = 150 * time.Millisecond
	DefaultGone         = 10 * time.Second
	DefaultSettle       = time.Second
	DefaultReread       = time.Second
)

// Config holds the times of leases; all proxies of a fleet use the same.
type Config struct {
	Length       time.Duration // a vote's life at the witness
	Drift        float64       // largest relative difference between the rates of two VMs' clocks
	Renew        time.Duration // between two requests of a holder to one witness
	Retry        time.Duration // between two candidates' ranks, and before a failed candidate tries again
	RoundTimeout time.Duration // longest wait of a candidate for a majority before it gives its votes back
	Gone         time.Duration // absence after which a member of the quorum is replaced
	Settle       time.Duration // longest wait for three failure domains before the quorum is created
	Reread       time.Duration // between two reads of the platform while the quorum is not known

	fromArrival bool // for tests: counts a vote from its answer's arrival
	forgetful   bool // for tests: votes right after the start
	unsealed    bool // for tests: completes a quorum's change at once
}

// DefaultConfig returns the configuration used unless an option changes it.
func DefaultConfig() Config {
	return Config{
		Length:       DefaultLength,
		Drift:        DefaultDrift,
		Renew:        DefaultRenew,
		Retry:        DefaultRetry,
		RoundTimeout: DefaultRoundTimeout,
		Gone:         DefaultGone,
		Settle:       DefaultSettle,
		Reread:       DefaultReread,
	}
}

// Option changes a Config.
type Option func(*Config)

// WithConfig replaces the whole configuration.
func WithConfig(config Config) Option {
	return func(target *Config) { *target = config }
}

// WithLength sets a vote's life.
func WithLength(length time.Duration) Option {
	return func(config *Config) { config.Length = length }
}

// WithRenew sets the time between two requests of a holder to one witness.
func WithRenew(renew time.Duration) Option {
	return func(config *Config) { config.Renew = renew }
}

func newConfig(options []Option) Config {
	config := DefaultConfig()
	for _, option := range options {
		option(&config)
	}
	return config
}

// counted is the time from sending a request for which a holder may rely on the vote.
func (config Config) counted() time.Duration {
	return time.Duration(float64(config.Length) * (1 - config.Drift))
}

// waited is the time after which a vote of that length has surely ended on any VM's clock.
func (config Config) waited() time.Duration {
	return time.Duration(float64(config.Length) * (1 + 2*config.Drift))
}
