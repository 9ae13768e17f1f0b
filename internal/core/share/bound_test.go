package share

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/internal/rapids"
	"corianderspool.example/spool/pkg/spool"
)

var (
	seedCount = flag.Uint64("seeds", 20, "seeds for each rate and burst")
	firstSeed = flag.Uint64("seed", 0, "first seed")
)

func TestMain(m *testing.M) { rapids.Main(m, rapids.WithSeed(4), rapids.WithSteps(400)) }

var boundSpecs = []spool.TeamSpec{
	{Name: "large", RatePerSecond: 400, Burst: 200},
	{Name: "steep", RatePerSecond: 400, Burst: 20},
	{Name: "small", RatePerSecond: 20, Burst: 5},
	{Name: "three", RatePerSecond: 50, Burst: 3},
	{Name: "single", RatePerSecond: 50, Burst: 1},
	{Name: "partial", RatePerSecond: 50, Burst: 1.5},
}

func TestBoundHoldsInEveryWindow(t *testing.T) {
	for _, spec := range boundSpecs {
		t.Run(string(spec.Name), func(t *testing.T) {
			c := qt.New(t)
			admitted := 0
			for seed := range *seedCount {
				simulation, err := runSeed(*firstSeed+seed, spec, 4000)
				c.Assert(err, qt.IsNil)
				admitted += simulation.admitted
			}
			t.Logf("%d admissions", admitted)
			c.Assert(admitted > 10*int(*seedCount), qt.IsTrue)
		})
	}
}

func TestBoundHoldsForAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := rapid.SampledFrom(boundSpecs).Draw(t, "spec")
		draw := func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "choice") }
		simulation := newSimulation(spec, 3, draw)
		repeated := map[string]func(*rapid.T){}
		for name, action := range simulation.actions() {
			repeated[name] = func(t *rapid.T) {
				if err := action(); err != nil {
					t.Fatal(err)
				}
			}
		}
		t.Repeat(repeated)
	})
}

// TestBoundBreaksWithoutMechanism checks that the oracle detects a violation when a mechanism is disabled: the first of
// a hundred seeds that breaks the bound must keep it with the mechanism enabled.
func TestBoundBreaksWithoutMechanism(t *testing.T) {
	cases := []struct {
		name   string
		faults faults
		spec   spool.TeamSpec
	}{
		{name: "lifetime counted from arrival", faults: faults{lifetimeFromArrival: true}, spec: boundSpecs[0]},
		{name: "new owner starts with a full bucket", faults: faults{fullStart: true}, spec: boundSpecs[0]},
		{name: "new owner without grace", faults: faults{noGrace: true}, spec: boundSpecs[1]},
		{name: "no cap on outstanding tokens", faults: faults{noCap: true}, spec: boundSpecs[0]},
	}
	for _, broken := range cases {
		t.Run(broken.name, func(t *testing.T) {
			c := qt.New(t)
			off := func(timing *Timing) { timing.faults = broken.faults }
			for seed := range uint64(100) {
				_, err := runSeed(seed, broken.spec, 4000, off)
				if err == nil {
					continue
				}
				t.Log(err)
				_, err = runSeed(seed, broken.spec, 4000)
				c.Assert(err, qt.IsNil)
				return
			}
			t.Fatal("no seed breaks the bound")
		})
	}
}
