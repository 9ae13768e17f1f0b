package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

// TestRestartedProxyAccruesSinceItsStart guards against refusals within a team's rate after many proxies were killed: the share
// of the rate that falls due while a proxy reads the registry and the configuration must not be lost.
func TestRestartedProxyAccruesSinceItsStart(t *testing.T) {
	c := qt.New(t)
	teams := map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: 100, Burst: 100}}
	admitted := func(bucketSet *BucketSet, now spool.Instant) (count int) {
		for bucketSet.Admit(team, Operation{}, now).Admitted {
			count++
		}
		return count
	}
	now := start.Add(800 * time.Millisecond)
	configFirst, registryFirst, late := NewBucketSet(), NewBucketSet(), NewBucketSet()
	for _, bucketSet := range []*BucketSet{configFirst, registryFirst} {
		bucketSet.AccrueSince(start)
	}
	configFirst.SetTeams(teams, start.Add(100*time.Millisecond))
	configFirst.SetFleetSize(4, now)
	c.Assert(admitted(configFirst, now), qt.Equals, 20)

	registryFirst.SetFleetSize(4, start.Add(100*time.Millisecond))
	registryFirst.SetTeams(teams, now)
	c.Assert(admitted(registryFirst, now), qt.Equals, 20)

	// A team of a later configuration, and a proxy whose fleet is already known, begin empty.
	teams["other"] = spool.TeamSpec{Name: "other", RatePerSecond: 100, Burst: 100}
	registryFirst.SetTeams(teams, now)
	c.Assert(registryFirst.Admit("other", Operation{}, now).Admitted, qt.IsFalse)
	late.SetFleetSize(4, start)
	late.AccrueSince(start)
	late.SetTeams(teams, now)
	c.Assert(admitted(late, now), qt.Equals, 0)
}

// TestRateBoundWithAccrualAfterRestarts restarts registered proxies, one or all of them, which learn the fleet and the teams up
// to 2 s after their start, and checks every window of five seconds against the documented bound.
func TestRateBoundWithAccrualAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		rate := float64(rapid.IntRange(5, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(5, 200).Draw(t, "burst"))
		teams := map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: rate, Burst: burst}}
		bucketSets, knownAt := make([]*BucketSet, size), make([]spool.Instant, size)
		now := start
		restart := func(index int) {
			bucketSets[index] = NewBucketSet()
			bucketSets[index].AccrueSince(now)
			bucketSets[index].SetTeams(teams, now)
			knownAt[index] = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "startup")) * time.Millisecond)
		}
		for i := range bucketSets {
			restart(i)
		}
		var admitted []spool.Instant
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond)
			index := rapid.IntRange(0, size-1).Draw(t, "proxy")
			switch rapid.IntRange(0, 80).Draw(t, "kill") {
			case 0:
				for i := range bucketSets {
					restart(i)
				}
			case 1, 2:
				restart(index)
			}
			if knownAt[index] != 0 && now >= knownAt[index] {
				bucketSets[index].SetFleetSize(size, now)
				knownAt[index] = 0
			}
			for bucketSets[index].Admit(team, Operation{}, now).Admitted {
				bucketSets[index].Settle(team, true, now)
				admitted = append(admitted, now)
			}
		}
		assertWindows(t, admitted, rate, burst)
	})
}
