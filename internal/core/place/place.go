package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	sampleWeight      = 0.2                    // weight of a new sample in the mean response time
	meanTTL           = 2 * time.Second        // after which a mean without new samples is ignored, so that slow servers are tried again
	defaultLatency    = 30 * time.Millisecond  // expected response time before any sample
	unresponsiveAfter = 500 * time.Millisecond // time since a server's last answer after which a late answer is a failure
	minBackoff        = 200 * time.Millisecond // time without requests after a failure, doubled with each further failure
	congestedLatency  = 250 * time.Millisecond // mean response time that indicates a queue: half of the shortest latency objective
	maxBackoff        = 2 * time.Second        // so that a recovered server is in use within two seconds
)

// Health tracks the response time and failures of one server by the outcomes of requests.
type Health struct {
	meanLatency  time.Duration // moving average of the response time, without the network
	sampledAt    spool.Instant
	failures     int
	backoffUntil spool.Instant // no requests before this instant
}

// RecordSuccess records the response time of a request.
func (health *Health) RecordSuccess(latency time.Duration, now spool.Instant) {
	health.failures = 0
	health.backoffUntil = 0
	if health.meanLatency == 0 {
		health.meanLatency = latency
	}
	health.meanLatency += time.Duration(sampleWeight * float64(latency-health.meanLatency))
	health.sampledAt = now
}

// RecordFailure records a request without an answer and starts a backoff that grows with each failure.
func (health *Health) RecordFailure(now spool.Instant) {
	backoff := min(minBackoff<<min(health.failures, 8), maxBackoff)
	health.failures++
	health.backoffUntil = now.Add(backoff)
}

// RecordTimeout records a request that was not answered in time: a server that answers other requests is slow, one that
// does not has failed.
func (health *Health) RecordTimeout(now spool.Instant) {
	if now.Sub(health.sampledAt) > unresponsiveAfter {
		health.RecordFailure(now)
	}
}

// InBackoff reports whether the server should get no requests now.
func (health *Health) InBackoff(now spool.Instant) bool { return now < health.backoffUntil }

// ConsecutiveFailures returns the number of consecutive requests without an answer.
func (health *Health) ConsecutiveFailures() int { return health.failures }

// ExpectedLatency returns the expected response time without the network.
func (health *Health) ExpectedLatency(now spool.Instant) time.Duration {
	if health.meanLatency == 0 || now.Sub(health.sampledAt) > meanTTL {
		return defaultLatency
	}
	return health.meanLatency
}

// Congested reports whether the response time indicates a queue at the server.
func (health *Health) Congested() bool { return health.meanLatency > congestedLatency }

// Candidate is a server that may run a read.
type Candidate struct {
	ExpectedLatency time.Duration // response time including the network
	InFlight        int           // requests of this proxy that the server is processing
	Primary         bool          // handles the writes; reads prefer other servers while those are free
}

// primaryPenalty makes reads prefer a replica until it is this many times slower than the primary.
const primaryPenalty = 3

// Best returns the index of the candidate with the shortest expected response time, or -1.
func Best(candidates []Candidate) int {
	best := -1
	var lowestCost time.Duration
	for i, candidate := range candidates {
		cost := candidate.ExpectedLatency * time.Duration(2+candidate.InFlight) / 2
		if candidate.Primary {
			cost *= primaryPenalty
		}
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best
}
