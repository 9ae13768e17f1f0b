package policy

import "time"

// Span is a half-open interval, given as times since the start of a trial.
type Span struct {
	From time.Duration
	To   time.Duration
}

func (span Span) contains(at time.Duration) bool { return at >= span.From && at < span.To }

// Scenario describes the load and the faults of a trial; a fault whose span is zero does not occur.
type Scenario struct {
	Name           string
	FirstTeamLoad  float64       // arrival rate of the first team, as a multiple of its rate
	OtherTeamsLoad float64       // arrival rate of the other teams, as a multiple of their rates
	RequestTimeout time.Duration // from the arrival to the deadline of a request
	OwnerDown      Span          // the owner of all teams is down; another takes over at the end
	ServerDown     Span          // the first server, the primary at first, does not answer
	PlatformOutage Span          // the platform does not answer
	Partition      Span          // the VMs of the last region cannot reach the other regions
	Measured       Span          // requests that arrive in this span are measured
}

// Scenarios returns the scenarios of the benchmark.
func Scenarios() []Scenario {
	const requestTimeout = 2 * time.Second
	steady := Span{From: 5 * time.Second, To: 25 * time.Second}
	fault := Span{From: 10 * time.Second, To: 20 * time.Second}
	ownerDown := Span{From: 10 * time.Second, To: 11200 * time.Millisecond}
	return []Scenario{
		{Name: "Calm", FirstTeamLoad: 0.8, OtherTeamsLoad: 0.8, RequestTimeout: requestTimeout, Measured: steady},
		{Name: "Overload", FirstTeamLoad: 5, OtherTeamsLoad: 0.8, RequestTimeout: requestTimeout, Measured: steady},
		{Name: "OwnerLoss", FirstTeamLoad: 5, OtherTeamsLoad: 0.8, RequestTimeout: requestTimeout, OwnerDown: ownerDown, Measured: fault},
		{Name: "PrimaryLoss", FirstTeamLoad: 5, OtherTeamsLoad: 0.8, RequestTimeout: requestTimeout, ServerDown: fault, Measured: fault},
		{Name: "Outage", FirstTeamLoad: 5, OtherTeamsLoad: 0.8, RequestTimeout: requestTimeout, PlatformOutage: steady, Measured: steady},
		{Name: "Partition", FirstTeamLoad: 5, OtherTeamsLoad: 0.8, RequestTimeout: requestTimeout, Partition: fault, Measured: fault},
	}
}
