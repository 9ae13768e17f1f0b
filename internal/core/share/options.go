package share

import "time"

// Defaults of Timing.
const (
	defaultGrantLifetime   = 300 * time.Millisecond
	defaultRequestInterval = 10 * time.Millisecond
	defaultTimeout         = 150 * time.Millisecond
	defaultOwnerChangeTime = 1500 * time.Millisecond
	defaultDrift           = 0.01
	defaultRateError       = 0.0005
)

// Timing holds the timing of owners and clients, which must be the same on all proxies of a fleet.
type Timing struct {
	GrantLifetime   time.Duration // lifetime of a grant, counted by the client from sending its request
	RequestInterval time.Duration // shortest interval between a client's requests to the owner
	Timeout         time.Duration // time after which a request counts as lost
	OwnerChangeTime time.Duration // time that a change of the owner is expected to take
	Drift           float64       // largest relative difference between the rates of two VMs' clocks
	RateError       float64       // largest relative error of an owner's clock against true time
	faults          faults
}

// faults disables mechanisms in tests that check that the bound breaks without them.
type faults struct {
	lifetimeFromArrival bool // the client counts a grant's lifetime from the arrival of the answer
	fullStart           bool // a new owner starts with a full bucket
	noGrace             bool // a new owner does not allow for its predecessor's grants
	noCap               bool // outstanding tokens are neither limited nor counted against the burst
}

// Option changes the timing of an owner or a client.
type Option func(timing *Timing)

// WithGrantLifetime sets the lifetime of a grant.
func WithGrantLifetime(lifetime time.Duration) Option {
	return func(timing *Timing) { timing.GrantLifetime = lifetime }
}

// WithRequestInterval sets the shortest interval between a client's requests.
func WithRequestInterval(interval time.Duration) Option {
	return func(timing *Timing) { timing.RequestInterval = interval }
}

// WithTimeout sets the time after which a client counts a request as lost.
func WithTimeout(timeout time.Duration) Option {
	return func(timing *Timing) { timing.Timeout = timeout }
}

// WithOwnerChangeTime sets the time that clients expect a change of the owner to take.
func WithOwnerChangeTime(duration time.Duration) Option {
	return func(timing *Timing) { timing.OwnerChangeTime = duration }
}

// WithDrift sets the largest relative difference between the rates of two VMs' clocks.
func WithDrift(drift float64) Option {
	return func(timing *Timing) { timing.Drift = drift }
}

// WithRateError sets the largest relative error of an owner's clock; the owner accrues tokens that much more slowly.
func WithRateError(rateError float64) Option {
	return func(timing *Timing) { timing.RateError = rateError }
}

func newTiming(options []Option) Timing {
	timing := Timing{
		GrantLifetime:   defaultGrantLifetime,
		RequestInterval: defaultRequestInterval,
		Timeout:         defaultTimeout,
		OwnerChangeTime: defaultOwnerChangeTime,
		Drift:           defaultDrift,
		RateError:       defaultRateError,
	}
	for _, option := range options {
		option(&timing)
	}
	return timing
}

// ownerGrantLifetime returns how long an owner counts a grant as outstanding: longer than the client by the drift.
func (timing *Timing) ownerGrantLifetime() time.Duration {
	return time.Duration(float64(timing.GrantLifetime)*(1+timing.Drift)) + 1
}
