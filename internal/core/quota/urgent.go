package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Operation is an operation that needs a token.
type Operation struct {
	Priority   int  // of its route; zero is the most urgent
	Retry      bool // it was counted as demand before
	Waiting    int  // operations of the team that wait for a token here
	MoreUrgent int  // of Waiting, those that are more urgent
	LessUrgent int  // of Waiting, those that are less urgent
	First      int  // priority of the most urgent ones of Waiting
	FirstCount int  // of Waiting, those of that priority
}

// CountWaiting sets the numbers of waiting operations from those of each priority, without this one.
func (operation *Operation) CountWaiting(byPriority map[int]int) {
	for priority, count := range byPriority {
		if count <= 0 {
			continue
		}
		if operation.Waiting == 0 || priority < operation.First {
			operation.First, operation.FirstCount = priority, count
		}
		operation.Waiting += count
		if priority < operation.Priority {
			operation.MoreUrgent += count
		} else if priority > operation.Priority {
			operation.LessUrgent += count
		}
	}
}

// Request is a request for tokens of another proxy.
type Request struct {
	Tokens       float64
	Priority     int     // of the most urgent operations that need the tokens
	UrgentTokens float64 // of Tokens, those for operations of that priority; zero for a proxy of an older version
}

// need is what makes a proxy request tokens.
type need struct {
	priority int // of the most urgent operations that wait for a token
	urgent   int // operations of that priority that wait
	waiting  int // all operations that wait
}

// need returns what an operation needs, with those that wait already.
func (operation Operation) need() need {
	if operation.MoreUrgent > 0 {
		return need{operation.First, operation.FirstCount, operation.Waiting + 1}
	}
	return need{operation.Priority, operation.Waiting - operation.LessUrgent + 1, operation.Waiting + 1}
}

// need returns what is left of a request after some tokens were issued.
func (request Request) need(issued float64) need {
	left := request.Tokens - issued
	return need{request.Priority, int(math.Ceil(min(left, request.UrgentTokens))), int(math.Ceil(left))}
}

// request returns the request for what is needed now and within requestWindow.
func (bucket *Bucket) request(need need) Request {
	window := requestWindow.Seconds()
	request := Request{Priority: bucket.urgent.priority}
	urgentWaits := need.priority <= bucket.urgent.priority
	request.UrgentTokens = bucket.urgent.rate * window
	switch {
	case bucket.issuersOnly:
		request.Tokens = math.Ceil(max(float64(need.waiting), bucket.demand*window))
		if urgentWaits {
			request.UrgentTokens = math.Ceil(max(float64(need.urgent), request.UrgentTokens))
		} else {
			request.UrgentTokens = math.Floor(request.UrgentTokens)
		}
	default:
		request.Tokens = max(minRequest, bucket.demand*window)
		if urgentWaits {
			request.UrgentTokens = max(minRequest, request.UrgentTokens)
		}
	}
	request.UrgentTokens = min(request.UrgentTokens, request.Tokens)
	return request
}

// minUrgentDemand is the demand, in operations a second, below which a priority no longer counts as the team's most urgent.
const minUrgentDemand = 0.05

// urgentDemand is the recent demand for the most urgent priority of a team.
type urgentDemand struct {
	priority   int
	rate       float64 // operations a second, averaged over demandWindow
	recordedAt spool.Instant
}

// record adds a number of operations of a priority; less urgent ones are not counted while more urgent ones are in demand.
func (urgentDemand *urgentDemand) record(priority int, operations float64, now spool.Instant) {
	if operations <= 0 || priority > urgentDemand.priority && urgentDemand.rate >= minUrgentDemand {
		return
	}
	if priority != urgentDemand.priority {
		urgentDemand.priority, urgentDemand.rate = priority, 0
	}
	urgentDemand.rate += operations / demandWindow.Seconds()
	urgentDemand.recordedAt = now
}

func (urgentDemand *urgentDemand) decay(elapsed time.Duration) {
	urgentDemand.rate *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
}

// heldBack returns the tokens that less urgent operations must leave to the most urgent ones: what those need in reserveWindow,
// while the demand exceeds the rate. If none was asked for during reserveWindow, nothing is held back, nor where the bucket does not
// refill: its tokens were issued for what waits there.
func (bucket *Bucket) heldBack(now spool.Instant) float64 {
	if bucket.rate <= 0 || bucket.demand <= bucket.rate || now.Sub(bucket.urgent.recordedAt) > reserveWindow {
		return 0
	}
	tokens := math.Round(bucket.urgent.rate * reserveWindow.Seconds())
	if bucket.burst > 0 {
		// Beyond this a full bucket would serve no less urgent operation, and what it refills would be lost.
		tokens = min(tokens, max(0, bucket.burst-bucket.reserved-1))
	}
	return tokens
}

// needed returns the level from which an operation gets a token: the most urgent ones need one token, others also what is held
// back, and as many tokens as more urgent operations wait for here.
func (bucket *Bucket) needed(operation Operation, now spool.Instant) float64 {
	needed := 1 + float64(operation.MoreUrgent)
	if operation.Priority > bucket.urgent.priority {
		needed = max(needed, 1+bucket.heldBack(now))
	}
	return needed
}

// split returns what a request gets of the most urgent tokens and of the others, given the tokens available to each.
func (request Request) split(urgentAvailable, available float64, whole bool) float64 {
	round := func(tokens float64) float64 {
		tokens = max(0, tokens)
		if whole {
			return math.Floor(tokens) // a fraction of a token could not grow to a whole one where no bucket refills
		}
		return tokens
	}
	urgent := round(min(request.UrgentTokens, request.Tokens, urgentAvailable))
	return urgent + round(min(request.Tokens-urgent, available-urgent))
}

// SetPrioritized sets whether the routes of the deployment differ in priority.
func (bucketSet *BucketSet) SetPrioritized(prioritized bool) { bucketSet.prioritized = prioritized }

// asksOne reports whether a proxy whose bucket does not refill asks one issuer after a failed request, and not all. Issuers hold
// tokens back for urgent operations, so that each of several would send some, of which all but one could expire unused.
func (bucketSet *BucketSet) asksOne(bucket *Bucket) bool {
	return bucketSet.prioritized && bucketSet.issuersOnly && bucket.burst == 0
}

// State is the state of a team's bucket, which explains a refusal.
type State struct {
	Tokens         float64
	HeldBack       float64 // tokens that are held back for the most urgent operations
	Demand         float64 // operations a second at this proxy; at an issuer, tokens a second that are asked for
	UrgentDemand   float64 // of Demand, that of UrgentPriority
	UrgentPriority int
	Rate           float64 // tokens a second at which the bucket refills
}

// State returns the state of a team's bucket.
func (bucketSet *BucketSet) State(team spool.Team, now spool.Instant) State {
	bucket := bucketSet.buckets[team]
	if bucket == nil {
		return State{}
	}
	bucket.refill(now)
	return State{
		Tokens: bucket.level, HeldBack: bucket.heldBack(now), Demand: bucket.demand, UrgentDemand: bucket.urgent.rate,
		UrgentPriority: bucket.urgent.priority, Rate: bucket.rate,
	}
}
