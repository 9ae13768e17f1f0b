package share

import "time"

// Defaults of the timing that owners and clients share.
const (
	defaultMaxLife    = 500 * time.Millisecond
	defaultMinLife    = 200 * time.Millisecond
	defaultPoll       = 10 * time.Millisecond
	defaultTimeout    = 150 * time.Millisecond
	defaultOwnerGap   = 1500 * time.Millisecond
	defaultDriftParts = 0.0005
)

// Timing holds the settings of owners and clients; all proxies of a fleet use the same.
type Timing struct {
	MaxLife  time.Duration // longest life of a grant
	MinLife  time.Duration // shortest life of a grant, for teams whose burst is small against their rate
	Poll     time.Duration // shortest time between two requests of a client
	Timeout  time.Duration // time after which a request counts as lost
	OwnerGap time.Duration // time that a change of the owner is expected to take
	Drift    float64       // largest relative error of a VM's clock
}

// Option changes the timing of an owner or a client.
type Option func(timing *Timing)

// WithLife sets the shortest and longest life of a grant.
func WithLife(shortest, longest time.Duration) Option {
	return func(timing *Timing) {
		timing.MinLife = shortest
		timing.MaxLife = longest
	}
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

// WithDrift sets the largest relative error of a VM's clock.
func WithDrift(drift float64) Option {
	return func(timing *Timing) { timing.Drift = drift }
}

func newTiming(options []Option) Timing {
	timing := Timing{
		MaxLife:  defaultMaxLife,
		MinLife:  defaultMinLife,
		Poll:     defaultPoll,
		Timeout:  defaultTimeout,
		OwnerGap: defaultOwnerGap,
		Drift:    defaultDriftParts,
	}
	for _, option := range options {
		option(&timing)
	}
	return timing
}
