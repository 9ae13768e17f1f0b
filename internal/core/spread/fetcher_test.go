package spread

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

const start = spool.Instant(time.Hour)

func noJitter(int64) int64 { return 0 }

// begin starts the fetch that is due and fails if none is.
func begin(c *qt.C, fetcher *Fetcher, now spool.Instant) Fetch {
	fetch, due, _ := fetcher.Next(now)
	c.Assert(due, qt.IsTrue)
	return fetch
}

// TestNearestSourceIsAskedFirst guards against transfers between regions while a proxy of the region has the version.
func TestNearestSourceIsAskedFirst(t *testing.T) {
	c := qt.New(t)
	fetcher := NewFetcher(noJitter)
	fetcher.Announce("far", OtherRegion, 9, start)
	_, due, at := fetcher.Next(start)
	c.Assert(due, qt.IsFalse)
	c.Assert(at, qt.Equals, start.Add(remoteDelay))
	fetcher.Announce("region", SameRegion, 8, start)
	fetcher.Announce("domain", SameDomain, 7, start)
	c.Assert(begin(c, fetcher, start), qt.Equals, Fetch{"domain", 7})
	fetcher.Finish(Corrupted, start)
	c.Assert(begin(c, fetcher, start), qt.Equals, Fetch{"region", 8})
	fetcher.Redirect(nil, 100*time.Millisecond, start)
	_, due, at = fetcher.Next(start)
	c.Assert(due, qt.IsFalse)
	c.Assert(at, qt.Equals, start.Add(100*time.Millisecond))
	later := start.Add(remotePatience)
	fetcher.Announce("region", SameRegion, 8, later)
	c.Assert(begin(c, fetcher, later).Source, qt.Equals, spool.VM("region"))
	fetcher.Finish(Stalled, later)
	c.Assert(begin(c, fetcher, later), qt.Equals, Fetch{"far", 9})
}

// TestRedirectedFetch guards against requesters that all wait for one busy source.
func TestRedirectedFetch(t *testing.T) {
	c := qt.New(t)
	fetcher := NewFetcher(noJitter)
	fetcher.Announce("relay", SameDomain, 3, start)
	begin(c, fetcher, start)
	fetcher.Redirect([]Source{{"sibling", SameDomain}}, time.Second, start)
	c.Assert(begin(c, fetcher, start), qt.Equals, Fetch{"sibling", 3})
	fetcher.Finish(Nothing, start)
	_, due, at := fetcher.Next(start)
	c.Assert(due, qt.IsFalse)
	c.Assert(at, qt.Equals, start.Add(time.Second))
}

// TestOnlySourceIsAskedAgain guards against a proxy that starts on a machine short of processor time and has one source: it
// must not give up each answer after the same short time, nor leave the source alone for seconds.
func TestOnlySourceIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	fetcher := NewFetcher(noJitter)
	fetcher.Announce("seed", SameDomain, 3, start)
	now := start
	patience := []time.Duration{FetchTimeout, 2 * FetchTimeout, 4 * FetchTimeout, 4 * FetchTimeout}
	skips := []time.Duration{shortSkip, 2 * shortSkip, 4 * shortSkip, skipDuration}
	for i := range patience {
		begin(c, fetcher, now)
		c.Assert(fetcher.Deadline().Sub(now), qt.Equals, patience[i])
		now = fetcher.Deadline()
		fetcher.Finish(Stalled, now)
		_, due, at := fetcher.Next(now)
		c.Assert(due, qt.IsFalse)
		c.Assert(at.Sub(now), qt.Equals, skips[i])
		now = at
	}
	begin(c, fetcher, now)
	c.Assert(fetcher.Accept(3, 100, now), qt.IsTrue)
	c.Assert(fetcher.Deadline().Sub(now), qt.Equals, FetchTimeout)
}

// TestSupersededTransfers guards against a large transfer that delays a newer version, and against versions that follow each
// other so fast that no transfer completes.
func TestSupersededTransfers(t *testing.T) {
	c := qt.New(t)
	const total = 100_000
	fetcher := NewFetcher(noJitter)
	fetcher.Announce("relay", SameDomain, 1, start)
	begin(c, fetcher, start)
	c.Assert(fetcher.Accept(1, total, start), qt.IsTrue)
	c.Assert(fetcher.Progress(total/10, start), qt.IsFalse)
	fetcher.Announce("relay", SameDomain, 2, start)
	c.Assert(fetcher.Progress(total*6/10, start), qt.IsFalse, qt.Commentf("nearly complete"))
	fetcher.Finish(Completed, start)
	begin(c, fetcher, start)
	c.Assert(fetcher.Accept(2, total, start), qt.IsTrue)
	fetcher.Announce("relay", SameDomain, 3, start)
	c.Assert(fetcher.Progress(total/10, start), qt.IsTrue)
	fetcher.Finish(Superseded, start)
	begin(c, fetcher, start)
	c.Assert(fetcher.Accept(3, total, start), qt.IsTrue)
	fetcher.Announce("relay", SameDomain, 4, start)
	c.Assert(fetcher.Progress(total/10, start), qt.IsFalse, qt.Commentf("the previous one was abandoned"))
}

// TestVersionNeverGoesBack drives a fetcher with announcements, answers and failures in any order: only versions newer than
// the one held are accepted, one fetch is in progress at a time, and a source that failed is not asked for a while.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		fetcher := NewFetcher(func(limit int64) int64 { return rapid.Int64Range(0, limit-1).Draw(t, "random") })
		skipUntil := map[spool.VM]spool.Instant{}
		source := rapid.Custom(func(t *rapid.T) spool.VM { return spool.VM(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "vm"))) })
		version := rapid.Uint64Range(1, 40)
		asked := spool.VM("")
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"announce": func(t *rapid.T) {
				distance := Distance(rapid.IntRange(0, 2).Draw(t, "distance"))
				fetcher.Announce(source.Draw(t, "source"), distance, version.Draw(t, "version"), now)
			},
			"read": func(t *rapid.T) { fetcher.Hold(version.Draw(t, "version"), now) },
			"next": func(t *rapid.T) {
				busy := fetcher.InProgress()
				fetch, due, at := fetcher.Next(now)
				if !due {
					if at != 0 && at <= now {
						t.Fatalf("next fetch at %v, which has passed at %v", at, now)
					}
					return
				}
				if busy {
					t.Fatal("two fetches in progress")
				}
				if fetch.Version <= fetcher.Held() {
					t.Fatalf("fetches version %d and holds %d", fetch.Version, fetcher.Held())
				}
				if now < skipUntil[fetch.Source] {
					t.Fatalf("%s is asked although it failed", fetch.Source)
				}
				asked = fetch.Source
			},
			"complete": func(t *rapid.T) {
				answered, held := version.Draw(t, "version"), fetcher.Held()
				if !fetcher.Accept(answered, 100_000, now) {
					return
				}
				if answered <= held {
					t.Fatalf("accepted version %d while %d is in effect", answered, held)
				}
				fetcher.Finish(Completed, now)
				fetcher.Hold(answered, now)
				if fetcher.Held() != answered {
					t.Fatalf("holds %d instead of %d", fetcher.Held(), answered)
				}
			},
			"fail": func(t *rapid.T) {
				if !fetcher.InProgress() {
					return
				}
				outcome := rapid.SampledFrom([]Outcome{Stalled, Closed, Corrupted, Unknown}).Draw(t, "outcome")
				fetcher.Finish(outcome, now)
				skipUntil[asked] = now.Add(shortSkip)
				if outcome == Corrupted || outcome == Unknown {
					skipUntil[asked] = now.Add(skipDuration)
				}
			},
			"redirect": func(t *rapid.T) {
				fetcher.Redirect([]Source{{source.Draw(t, "source"), SameDomain}}, 100*time.Millisecond, now)
			},
		})
	})
}

// TestServerBoundsTransfers guards against a source whose link is divided among all that ask at once: large transfers run one
// after the other, small ones beside them, and the proxies that completed one are named, first those of the same domain.
func TestServerBoundsTransfers(t *testing.T) {
	c := qt.New(t)
	server := NewServer(0, noJitter)
	server.Publish(5)
	first := server.Admit(Requester{"a", "d1"}, 150_000)
	c.Assert(first.Granted, qt.IsTrue)
	refused := server.Admit(Requester{"b", "d2"}, 150_000)
	c.Assert(refused.Granted, qt.IsFalse)
	c.Assert(refused.Sources, qt.HasLen, 0)
	c.Assert(refused.Retry > 0, qt.IsTrue)
	small := server.Admit(Requester{"c", "d2"}, 500)
	c.Assert(small.Granted, qt.IsTrue)
	server.Finish(first.ID, true)
	server.Finish(small.ID, true)
	again := server.Admit(Requester{"b", "d2"}, 150_000)
	c.Assert(again.Granted, qt.IsTrue)
	c.Assert(server.Admit(Requester{"e", "d2"}, 150_000).Sources, qt.DeepEquals, []spool.VM{"c", "a"})
	c.Assert(server.Admit(Requester{"c", "d1"}, 150_000).Sources, qt.DeepEquals, []spool.VM{"a"})
	server.Publish(6)
	server.Finish(again.ID, true)
	c.Assert(server.InProgress(), qt.Equals, 0)
	c.Assert(server.Admit(Requester{"f", "d1"}, 150_000).Granted, qt.IsTrue)
	c.Assert(server.Admit(Requester{"g", "d1"}, 150_000).Sources, qt.HasLen, 0, qt.Commentf("they completed the previous version"))
}

// TestLibraryKeepsTheBodyThatMostHold guards against whole bodies being sent after a storm of versions: the version before it
// and the latest one stay as dictionaries, and no more than two.
func TestLibraryKeepsTheBodyThatMostHold(t *testing.T) {
	c := qt.New(t)
	library := &Library{}
	now := start
	c.Assert(library.Add(Copy{Version: 1, Hash: 1}, now), qt.IsTrue)
	now = now.Add(time.Minute)
	for version := uint64(2); version <= 20; version++ {
		c.Assert(library.Add(Copy{Version: version, Hash: version}, now), qt.IsTrue)
		now = now.Add(60 * time.Millisecond)
	}
	c.Assert(library.Add(Copy{Version: 20, Hash: 7}, now), qt.IsFalse)
	c.Assert(library.Newest().Version, qt.Equals, uint64(20))
	c.Assert(library.previous, qt.HasLen, maxPrevious)
	for _, version := range []uint64{1, 19, 20} {
		_, found := library.Find(version, version)
		c.Check(found, qt.IsTrue, qt.Commentf("%d", version))
	}
	_, found := library.Find(1, 99)
	c.Assert(found, qt.IsFalse)
}
