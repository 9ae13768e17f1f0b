package policy

import "time"

// Span is a time between two instants of a trial.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (span Span) covers(at time.Duration) bool { return at >= span.From && at < span.To }

// Scenario says what happens in a trial; zero spans never happen.
type Scenario struct {
	Name       string
	Greed      float64       // requests of the first team, as a multiple of its rate
	Load       float64       // requests of the other teams, as a part of their rate
	Patience   time.Duration // time until a request's deadline
	OwnerDown  Span          // the owner of all teams dies and another takes over at the end
	ServerDown Span          // the first server, the primary at first, does not answer
	Outage     Span          // the platform does not answer
	Cut        Span          // the last region's VMs reach no other region
	Measured   Span          // requests that arrive in this span count
}

// Scenarios returns the scenarios of the bench.
func Scenarios() []Scenario {
	const patience = 2 * time.Second
	steady := Span{From: 5 * time.Second, To: 25 * time.Second}
	fault := Span{From: 10 * time.Second, To: 20 * time.Second}
	gap := Span{From: 10 * time.Second, To: 11200 * time.Millisecond}
	return []Scenario{
		{Name: "Calm", Greed: 0.8, Load: 0.8, Patience: patience, Measured: steady},
		{Name: "Overload", Greed: 5, Load: 0.8, Patience: patience, Measured: steady},
		{Name: "OwnerLoss", Greed: 5, Load: 0.8, Patience: patience, OwnerDown: gap, Measured: fault},
		{Name: "PrimaryLoss", Greed: 5, Load: 0.8, Patience: patience, ServerDown: fault, Measured: fault},
		{Name: "Outage", Greed: 5, Load: 0.8, Patience: patience, Outage: steady, Measured: steady},
		{Name: "Partition", Greed: 5, Load: 0.8, Patience: patience, Cut: fault, Measured: fault},
	}
}
