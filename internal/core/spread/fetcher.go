package spread

import (
	"maps"
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Distance is how far away another proxy is.
type Distance int

// Distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

const (
	// FetchTimeout is how long a fetch may receive nothing before another source is asked. After fetches that stalled it is
	// doubled, up to maxDoublings times: a proxy that is short of processor time may be what is slow.
	FetchTimeout = 600 * time.Millisecond
	maxDoublings = 2
	// TransferTimeout bounds a transfer that progresses slowly, at both ends. Several full bodies take less on the slowest link.
	TransferTimeout = 5 * time.Second
	// skipDuration is how long a source that failed is not asked again, at most. The first failure of a source that is only
	// slow or restarts costs shortSkip; each further one twice as much.
	skipDuration = 2 * time.Second
	shortSkip    = 250 * time.Millisecond
	// maxSkipDoublings keeps shortSkip from overflowing; skipDuration is reached before.
	maxSkipDoublings = 8
	// skipJitterDivisor is the divisor of a skip that bounds the random time added to it, so that proxies whose source failed
	// do not ask it again at once.
	skipJitterDivisor = 4
	// startJitter spreads the requests of the proxies that one heartbeat round reaches.
	startJitter = 20 * time.Millisecond
	// remoteDelay gives the reader of the region time to read a version before a source in another region is asked for it.
	remoteDelay = 200 * time.Millisecond
	// remotePatience is how long busy sources of the region are waited for before one of another region is asked.
	remotePatience = time.Second
	// smallBytes is a size at which a transfer costs hardly more than its request.
	smallBytes = 4 << 10
	// completeFraction is the part of a superseded transfer from which on it is completed: the rest is less than starting again.
	completeFraction = 0.5
)

// Outcome is how a fetch ended.
type Outcome int

// Outcomes of fetches.
const (
	Completed  Outcome = iota
	Busy               // the source named other proxies or a time
	Nothing            // the source has no newer version
	Stalled            // no byte arrived for FetchTimeout, or the transfer exceeded TransferTimeout
	Closed             // the source closed the stream or could not be reached
	Corrupted          // the body was wrong
	Superseded         // a newer version was announced meanwhile
	Unknown            // the source, of an older version, does not serve transfers
)

// Fetch is a request to send.
type Fetch struct {
	Source  spool.VM
	Version uint64 // that the source announced
}

// Source is a proxy that has a version.
type Source struct {
	VM       spool.VM
	Distance Distance
}

// Fetcher decides which proxy to fetch a newer version from, and when. One fetch is in progress at a time.
type Fetcher struct {
	random    func(limit int64) int64
	held      uint64
	newest    uint64
	newestAt  spool.Instant
	earliest  spool.Instant // before which no fetch starts
	sources   map[spool.VM]*source
	transfer  *transfer
	stalls    int  // fetches that stalled since the last answer
	abandoned bool // the previous transfer was abandoned for a newer version, so the next one is completed
}

type source struct {
	distance  Distance
	version   uint64
	since     spool.Instant // when it first announced a version that was newer than the one held
	notBefore spool.Instant // busy until then
	skipUntil spool.Instant // failed
	failures  int           // in a row
}

type transfer struct {
	Fetch
	started    spool.Instant
	progressed spool.Instant
	received   int
	total      int // zero until the source answered
}

// NewFetcher returns a fetcher that holds nothing; random returns a number from 0 up to the limit, excluded.
func NewFetcher(random func(limit int64) int64) *Fetcher {
	return &Fetcher{random: random, sources: map[spool.VM]*source{}}
}

// Announce records the version that a proxy has.
func (fetcher *Fetcher) Announce(vm spool.VM, distance Distance, version uint64, now spool.Instant) {
	if version > fetcher.newest {
		fetcher.newest, fetcher.newestAt = version, now
	}
	known := fetcher.sources[vm]
	if version <= fetcher.held {
		if known != nil {
			known.version = version
			fetcher.prune(vm, known, now)
		}
		return
	}
	if !fetcher.wanted() {
		fetcher.earliest = max(fetcher.earliest, now.Add(fetcher.jitter(startJitter)))
	}
	if known == nil {
		known = &source{}
		fetcher.sources[vm] = known
	}
	if known.version <= fetcher.held {
		known.since = now
	}
	known.distance, known.version = distance, version
}

// Hold records the version in effect; a lower one is ignored.
func (fetcher *Fetcher) Hold(version uint64, now spool.Instant) {
	if version <= fetcher.held {
		return
	}
	fetcher.held = version
	if version > fetcher.newest {
		fetcher.newest, fetcher.newestAt = version, now
	}
	for vm, known := range fetcher.sources {
		fetcher.prune(vm, known, now)
	}
}

// Held returns the version in effect.
func (fetcher *Fetcher) Held() uint64 { return fetcher.held }

// Newest returns the newest version announced and when it was first announced.
func (fetcher *Fetcher) Newest() (version uint64, since spool.Instant) {
	return fetcher.newest, fetcher.newestAt
}

// InProgress reports whether a fetch is in progress.
func (fetcher *Fetcher) InProgress() bool { return fetcher.transfer != nil }

// prune forgets a source without a newer version unless it is skipped or is being asked, since it may fail yet.
func (fetcher *Fetcher) prune(vm spool.VM, known *source, now spool.Instant) {
	asked := fetcher.transfer != nil && fetcher.transfer.Source == vm
	if !asked && known.version <= fetcher.held && known.skipUntil <= now {
		delete(fetcher.sources, vm)
	}
}

func (fetcher *Fetcher) wanted() bool {
	for _, known := range fetcher.sources {
		if known.version > fetcher.held {
			return true
		}
	}
	return false
}

// Next starts a fetch if one is due. Otherwise it returns when the next one will be, or zero if nothing newer is announced or
// a fetch is in progress.
func (fetcher *Fetcher) Next(now spool.Instant) (fetch Fetch, due bool, at spool.Instant) {
	if fetcher.transfer != nil {
		return Fetch{}, false, 0
	}
	best, rank := Fetch{}, sourceRank{}
	for _, vm := range slices.Sorted(maps.Keys(fetcher.sources)) {
		known := fetcher.sources[vm]
		if known.version <= fetcher.held {
			continue
		}
		ready := fetcher.readyAt(known, now)
		if ready > now {
			if at == 0 || ready < at {
				at = ready
			}
			continue
		}
		found := sourceRank{known.distance, known.version, fetcher.random(1 << 30)}
		if best.Source == "" || found.before(rank) {
			best, rank = Fetch{Source: vm, Version: known.version}, found
		}
	}
	if best.Source == "" {
		return Fetch{}, false, at
	}
	fetcher.transfer = &transfer{Fetch: best, started: now, progressed: now}
	return best, true, 0
}

// sourceRank orders sources: the nearest first, then those with the newest version, then by chance.
type sourceRank struct {
	distance Distance
	version  uint64
	chance   int64
}

func (left sourceRank) before(right sourceRank) bool {
	if left.distance != right.distance {
		return left.distance < right.distance
	}
	if left.version != right.version {
		return left.version > right.version
	}
	return left.chance < right.chance
}

// readyAt returns when a source may be asked.
func (fetcher *Fetcher) readyAt(known *source, now spool.Instant) spool.Instant {
	ready := max(fetcher.earliest, known.notBefore, known.skipUntil)
	if known.distance != OtherRegion {
		return ready
	}
	if fetcher.nearSource(now) {
		return max(ready, known.since.Add(remotePatience))
	}
	return max(ready, known.since.Add(remoteDelay))
}

// nearSource reports whether a source of the region has a newer version and did not fail.
func (fetcher *Fetcher) nearSource(now spool.Instant) bool {
	for _, known := range fetcher.sources {
		if known.version > fetcher.held && known.distance != OtherRegion && known.skipUntil <= now {
			return true
		}
	}
	return false
}

// Accept records the source's answer, whose pieces have the given total size in bytes, and reports whether the version is
// newer than the one held.
func (fetcher *Fetcher) Accept(version uint64, total int, now spool.Instant) bool {
	if fetcher.transfer == nil || version <= fetcher.held {
		return false
	}
	fetcher.transfer.Version, fetcher.transfer.total, fetcher.transfer.progressed = version, total, now
	fetcher.stalls = 0
	return true
}

// Progress records the bytes received so far and reports whether the transfer is to be abandoned, since a newer version was
// announced and much of this one is missing. Of two transfers in a row at most one is abandoned, so that versions that
// follow each other fast cannot keep all of them from taking effect.
func (fetcher *Fetcher) Progress(received int, now spool.Instant) (abandon bool) {
	current := fetcher.transfer
	if current == nil {
		return true
	}
	if received > current.received {
		current.received, current.progressed = received, now
	}
	nearlyComplete := float64(received) >= completeFraction*float64(current.total) || current.total <= smallBytes
	return !nearlyComplete && !fetcher.abandoned && fetcher.newerThan(current.Version, now)
}

func (fetcher *Fetcher) newerThan(version uint64, now spool.Instant) bool {
	for _, known := range fetcher.sources {
		if known.version > version && fetcher.readyAt(known, now) <= now {
			return true
		}
	}
	return false
}

// Deadline returns when the fetch in progress counts as stalled unless it progresses.
func (fetcher *Fetcher) Deadline() spool.Instant {
	if fetcher.transfer == nil {
		return 0
	}
	patience := FetchTimeout << min(fetcher.stalls, maxDoublings)
	return min(fetcher.transfer.progressed.Add(patience), fetcher.transfer.started.Add(TransferTimeout))
}

// Finish ends the fetch in progress. A source that failed is skipped for a while.
func (fetcher *Fetcher) Finish(outcome Outcome, now spool.Instant) {
	current := fetcher.transfer
	if current == nil {
		return
	}
	fetcher.transfer = nil
	if outcome == Completed || outcome == Superseded {
		fetcher.abandoned = outcome == Superseded
	}
	if outcome == Stalled {
		fetcher.stalls++
	}
	known := fetcher.sources[current.Source]
	if known == nil {
		return
	}
	switch outcome {
	case Completed, Busy:
		known.failures = 0
	case Nothing:
		known.version = 0
	case Stalled, Closed:
		skip := min(shortSkip<<min(known.failures, maxSkipDoublings), skipDuration)
		known.failures++
		known.skipUntil = fetcher.skipUntil(skip, now)
	case Corrupted, Unknown:
		known.skipUntil = fetcher.skipUntil(skipDuration, now)
	}
	fetcher.prune(current.Source, known, now)
}

// Redirect ends the fetch in progress after the answer of a busy source, which named other proxies that have its version.
func (fetcher *Fetcher) Redirect(named []Source, retry time.Duration, now spool.Instant) {
	current := fetcher.transfer
	if current == nil {
		return
	}
	fetcher.Finish(Busy, now)
	if known := fetcher.sources[current.Source]; known != nil {
		known.notBefore = now.Add(min(retry, TransferTimeout))
	}
	for _, other := range named {
		if known := fetcher.sources[other.VM]; known == nil || known.version < current.Version {
			fetcher.Announce(other.VM, other.Distance, current.Version, now)
		}
	}
}

// skipUntil returns the end of a skip that begins now, with a random addition.
func (fetcher *Fetcher) skipUntil(skip time.Duration, now spool.Instant) spool.Instant {
	return now.Add(skip + fetcher.jitter(skip/skipJitterDivisor))
}

func (fetcher *Fetcher) jitter(limit time.Duration) time.Duration {
	return time.Duration(fetcher.random(int64(limit)))
}
