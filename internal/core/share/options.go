package share

import "time"

// Defaults of the timing that owners and clients share.
const (
	defaultLife      = 300 * time.Millisecond
	defaultPoll      = 10 * time.Millisecond
	defaultTimeout   = 150 * time.Millisecond
	defaultOwnerGap  = 1500 * time.Millisecond
	defaultDrift     = 0.01
	defaultRateError = 0.0005
)

// Timing holds the settings of owners and clients; all proxies of a fleet use the same.
type Timing struct {
	Life      time.Duration // life of a grant, counted by the client from sending its request
	Poll      time.Duration // shortest time between two requests of a client
	Timeout   time.Duration // time after which a request counts as lost
	OwnerGap  time.Duration // time that a change of the owner is expected to take
	Drift     float64       // largest relative difference between the rates of two VMs' clocks
	RateError float64       // largest relative error of an owner's clock against true time
	faults    faults
}

// faults turns mechanisms off to show in tests that the bound breaks without them.
type faults struct {
	lifeFromArrival bool // the client counts a grant's life from the answer's arrival
	fullStart       bool // a new owner starts with a full bucket
	noGrace         bool // a new owner does not spare its predecessor's grants
	noCap           bool // outstanding tokens are neither capped nor counted against the burst
}

// Option changes the timing of an owner or a client.
type Option func(timing *Timing)

// WithLife sets the life of a grant.
func WithLife(life time.Duration) Option {
	return func(timing *Timing) { timing.Life = life }
}

// WithPoll sets the shortest time between two requests of a client.
func WithPoll(poll time.Duration) Option {
	return func(timing *Timing) { timing.Poll = poll }
}

// WithTimeout sets the time after which a client takes a request for lost.
func WithTimeout(timeout time.Duration) Option {
	return func(timing *Timing) { timing.Timeout = timeout }
}

// WithOwnerGap sets the time that clients expect a change of the owner to take.
func WithOwnerGap(gap time.Duration) Option {
	return func(timing *Timing) { timing.OwnerGap = gap }
}

// WithDrift sets the largest relative difference between the rates of two VMs' clocks.
func WithDrift(drift float64) Option {
	return func(timing *Timing) { timing.Drift = drift }
}

// WithRateError sets the largest relative error of an owner's clock, by which it mints fewer tokens.
func WithRateError(rateError float64) Option {
	return func(timing *Timing) { timing.RateError = rateError }
}

func newTiming(options []Option) Timing {
	timing := Timing{
		Life:      defaultLife,
		Poll:      defaultPoll,
		Timeout:   defaultTimeout,
		OwnerGap:  defaultOwnerGap,
		Drift:     defaultDrift,
		RateError: defaultRateError,
	}
	for _, option := range options {
		option(&timing)
	}
	return timing
}

// ownerLife returns how long an owner counts a grant as alive, on a clock that may err against the client's.
func (timing *Timing) ownerLife() time.Duration {
	return time.Duration(float64(timing.Life)*(1+timing.Drift)) + 1
}
