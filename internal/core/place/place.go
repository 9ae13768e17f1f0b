package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	smoothing     = 0.2                    // weight of a new sample in the mean response time
	forgetAfter   = 2 * time.Second        // a mean that got no sample for so long loses its weight, so slow servers are tried again
	firstGuess    = 30 * time.Millisecond  // expected work before any sample
	silentAfter   = 500 * time.Millisecond // a server that answered nobody for so long while an answer is late has failed
	shortestBlock = 200 * time.Millisecond // a failed server is left alone for so long, doubled with each failure
	slowAnswer    = 250 * time.Millisecond // mean response time that shows a queue: half of the shortest objective of a request
	longestBlock  = 2 * time.Second        // so that a server that came back is in use within two seconds
)

// Health is what the outcomes of requests tell about one server.
type Health struct {
	mean     time.Duration // response time, without the network
	sampled  spool.Instant
	failures int
	blocked  spool.Instant // no work before this instant
}

// RecordSuccess notes the response time of a request.
func (health *Health) RecordSuccess(took time.Duration, now spool.Instant) {
	health.failures = 0
	health.blocked = 0
	if health.mean == 0 {
		health.mean = took
	}
	health.mean += time.Duration(smoothing * float64(took-health.mean))
	health.sampled = now
}

// RecordFailure notes a request without an answer and keeps work away for a while that grows with each failure.
func (health *Health) RecordFailure(now spool.Instant) {
	block := min(shortestBlock<<min(health.failures, 8), longestBlock)
	health.failures++
	health.blocked = now.Add(block)
}

// RecordTimeout notes a request without an answer in time: a server that answers others is slow, one that does not has failed.
func (health *Health) RecordTimeout(now spool.Instant) {
	if now.Sub(health.sampled) > silentAfter {
		health.RecordFailure(now)
	}
}

// InBackoff tells if the server should get no work now.
func (health *Health) InBackoff(now spool.Instant) bool { return now < health.blocked }

// ConsecutiveFailures returns how many requests in a row got no answer.
func (health *Health) ConsecutiveFailures() int { return health.failures }

// ExpectedLatency returns the response time to expect.
func (health *Health) ExpectedLatency(now spool.Instant) time.Duration {
	if health.mean == 0 || now.Sub(health.sampled) > forgetAfter {
		return firstGuess
	}
	return health.mean
}

// Congested tells if the response time shows a queue at the server.
func (health *Health) Congested() bool { return health.mean > slowAnswer }

// Candidate is a server that may run a read.
type Candidate struct {
	ExpectedLatency time.Duration // response time including the network
	InFlight        int           // requests of this proxy that it works on
	Primary         bool          // takes writes; reads go elsewhere while others are free
}

// reservedFactor makes reads prefer a replica until it is this many times slower than the primary.
const reservedFactor = 3

// Best returns the index of the candidate with the shortest expected response time, or -1.
func Best(candidates []Candidate) int {
	best := -1
	var lowest time.Duration
	for i, candidate := range candidates {
		cost := candidate.ExpectedLatency * time.Duration(2+candidate.InFlight) / 2
		if candidate.Primary {
			cost *= reservedFactor
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
