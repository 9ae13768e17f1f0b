package place

import (
	"maps"
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// TransactionTime is how long open transactions may continue at the servers of an evacuated failure domain, from when this
	// proxy learned of the evacuation. With the time until it learns, nothing is sent 2 s after the operators' write.
	TransactionTime = 1500 * time.Millisecond
	// SwitchoverTime is when the last switchover of a primary in the failure domain may begin: it pauses replicas there and has to
	// resume them while commands may still be sent. A switchover takes about 100 ms.
	SwitchoverTime = TransactionTime - 500*time.Millisecond
	// SettledTime is when every proxy in reach has ended its transactions in the failure domain: the others learn of the
	// evacuation within 500 ms of this proxy.
	SettledTime = TransactionTime + 500*time.Millisecond
	// answerTime is how long a statement that was sent before an evacuation may still be answered: the usual timeout of a route.
	answerTime = 2 * time.Second
	// EvacuationRetry is the retry hint to callers whose group has no server outside the evacuated failure domains.
	EvacuationRetry = time.Second
)

// Work is a kind of work that a proxy sends to a backend server.
type Work int

// Kinds of work.
const (
	NewWork         Work = iota // statements, probes and the handshakes of connections for them
	OpenTransaction             // statements of a transaction that was open before
	SupervisorWork              // queries and pauses that replace a primary
)

// Evacuation is the set of failure domains that the operators evacuate; it is immutable and nil if there are none. It answers
// the failure that an operator predicts: a failure domain that is about to lose power or its network.
type Evacuation struct {
	since map[spool.Domain]spool.Instant // when this proxy learned of each
	bound time.Duration                  // as of EvacuationRecord
}

// Closed reports whether new work must not be sent to a failure domain.
func (evacuation *Evacuation) Closed(domain spool.Domain) bool {
	if evacuation == nil {
		return false
	}
	_, evacuated := evacuation.since[domain]
	return evacuated
}

// elapsed returns how long this proxy has known that a failure domain is evacuated.
func (evacuation *Evacuation) elapsed(domain spool.Domain, now spool.Instant) (elapsed time.Duration, evacuated bool) {
	if evacuation == nil {
		return 0, false
	}
	since, evacuated := evacuation.since[domain]
	return now.Sub(since), evacuated
}

// Permits reports whether work of a kind may be sent to a failure domain now.
func (evacuation *Evacuation) Permits(domain spool.Domain, work Work, now spool.Instant) bool {
	elapsed, evacuated := evacuation.elapsed(domain, now)
	return !evacuated || work != NewWork && elapsed < TransactionTime
}

// MaySwitchOver reports whether a switchover that sends commands to an evacuated failure domain may begin.
func (evacuation *Evacuation) MaySwitchOver(domain spool.Domain, now spool.Instant) bool {
	elapsed, evacuated := evacuation.elapsed(domain, now)
	return evacuated && elapsed < SwitchoverTime
}

// Settled reports whether every proxy in reach has ended its transactions in an evacuated failure domain.
func (evacuation *Evacuation) Settled(domain spool.Domain, now spool.Instant) bool {
	elapsed, evacuated := evacuation.elapsed(domain, now)
	return evacuated && elapsed >= SettledTime
}

// Answered reports whether no proxy acknowledges commits of the servers of an evacuated failure domain any more: the bound for
// learning of the evacuation has passed everywhere, and so has the time for the statements that were sent before.
func (evacuation *Evacuation) Answered(domain spool.Domain, now spool.Instant) bool {
	elapsed, evacuated := evacuation.elapsed(domain, now)
	return evacuated && elapsed >= evacuation.bound+answerTime
}

// Domains returns the evacuated failure domains in alphabetical order.
func (evacuation *Evacuation) Domains() []spool.Domain {
	if evacuation == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(evacuation.since))
}

// Since returns when this proxy learned that a failure domain is evacuated.
func (evacuation *Evacuation) Since(domain spool.Domain) spool.Instant {
	return evacuation.since[domain]
}

// EvacuationRecord is the newest set that a proxy knows, with the version of the store at which it was read.
type EvacuationRecord struct {
	Version spool.Version // zero if no set is known
	Bound   time.Duration // within which every proxy in reach learns of an evacuation
	Current *Evacuation
}

// Apply replaces the set by one of a greater version and reports which failure domains it adds and removes. A set of an equal
// or smaller version is late or repeated and changes nothing.
func (record *EvacuationRecord) Apply(
	version spool.Version, domains []spool.Domain, now spool.Instant,
) (added, removed []spool.Domain) {
	if version <= record.Version {
		return nil, nil
	}
	record.Version = version
	since := make(map[spool.Domain]spool.Instant, len(domains))
	for _, domain := range domains {
		since[domain] = now
		if record.Current.Closed(domain) {
			since[domain] = record.Current.Since(domain)
		} else {
			added = append(added, domain)
		}
	}
	for _, domain := range record.Current.Domains() {
		if _, kept := since[domain]; !kept {
			removed = append(removed, domain)
		}
	}
	slices.Sort(added)
	record.Current = nil
	if len(since) > 0 {
		record.Current = &Evacuation{since: since, bound: record.Bound}
	}
	return slices.Compact(added), removed
}
