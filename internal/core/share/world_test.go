package share

import (
	"fmt"
	"math/rand/v2"
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// world drives one team's owners and clients over a network that delays, repeats, reorders and loses messages.
type world struct {
	first     spool.TeamSpec
	spec      spool.TeamSpec // in force now
	options   []Option
	draw      func(below int) int
	now       spool.Instant // true time; each VM reads a clock that errs
	vms       []*vm
	owner     *Owner
	ownerVM   int
	mail      []letter
	reference bucketOracle
	nextID    uint64
	admitted  int
}

type vm struct {
	name        spool.VM
	client      *Client
	incarnation uint64
	skew        float64
	origin      spool.Instant
}

type letter struct {
	vm      int
	request *wire.GrantRequest
	answer  *wire.GrantAnswer
}

// bucketOracle is one bucket fed with all admissions in the order of time: it runs dry
// if and only if some window of length t held more than burst + rate*t admissions.
// A smaller burst counts once the grants that were made before have died.
type bucketOracle struct {
	rate   float64
	bursts []burstSince
	level  float64
	filled spool.Instant
}

type burstSince struct {
	burst float64
	until spool.Instant // counts until then; zero for the newest
}

func (oracle *bucketOracle) fill(now spool.Instant) {
	limit := 0.0
	for _, entry := range oracle.bursts {
		if entry.until == 0 || now <= entry.until {
			limit = max(limit, entry.burst)
		}
	}
	oracle.level += now.Sub(oracle.filled).Seconds() * oracle.rate
	oracle.level = min(oracle.level, limit)
	oracle.filled = now
}

func (oracle *bucketOracle) take(now spool.Instant) bool {
	oracle.fill(now)
	if oracle.level < 1-1e-6 {
		return false
	}
	oracle.level--
	return true
}

func (oracle *bucketOracle) resize(spec spool.TeamSpec, now spool.Instant) {
	oracle.fill(now)
	oracle.rate = spec.RatePerSecond
	oracle.bursts[len(oracle.bursts)-1].until = now.Add(defaultLife + defaultLife/50)
	oracle.bursts = append(oracle.bursts, burstSince{burst: spec.Burst})
}

func newWorld(spec spool.TeamSpec, vms int, draw func(below int) int, options ...Option) *world {
	world := &world{first: spec, spec: spec, options: options, draw: draw}
	world.reference = bucketOracle{rate: spec.RatePerSecond, level: spec.Burst}
	world.reference.bursts = []burstSince{{burst: spec.Burst}}
	for i := range vms {
		skew := 1 + defaultRateError*float64(i%3-1)
		added := &vm{name: spool.VM(fmt.Sprint("vm", i)), skew: skew, origin: spool.Instant(i) * 1e12}
		world.vms = append(world.vms, added)
		world.restart(i)
	}
	world.owner = NewOwner(spec, world.clock(0), options...)
	return world
}

func (world *world) clock(vm int) spool.Instant {
	return world.vms[vm].origin + spool.Instant(float64(world.now)*world.vms[vm].skew)
}

func (world *world) restart(vm int) {
	world.vms[vm].incarnation++
	world.vms[vm].client = NewClient(world.spec.Name, world.vms[vm].incarnation<<32, world.clock(vm), world.options...)
}

// resize halves, doubles or keeps the original rate and burst.
func (world *world) resize() error {
	factor := []float64{0.5, 1, 2}[world.draw(3)]
	world.spec.RatePerSecond = world.first.RatePerSecond * factor
	world.spec.Burst = max(1, world.first.Burst*factor)
	world.reference.resize(world.spec, world.now)
	if world.owner != nil {
		world.owner.Resize(world.spec, world.clock(world.ownerVM))
	}
	return nil
}

func (world *world) admit() error {
	world.admitted++
	if !world.reference.take(world.now) {
		return fmt.Errorf("admission %d at %v breaks the bound", world.admitted, time.Duration(world.now))
	}
	return nil
}

func (world *world) step(vm int) error {
	outcome := world.vms[vm].client.Step(world.clock(vm))
	if outcome.Request != nil {
		world.mail = append(world.mail, letter{vm: vm, request: outcome.Request})
	}
	for range outcome.Admitted {
		if err := world.admit(); err != nil {
			return err
		}
	}
	return nil
}

func (world *world) ask(vm, count int, patience time.Duration) error {
	for range count {
		world.nextID++
		now := world.clock(vm)
		answer := world.vms[vm].client.Ask(world.nextID, now.Add(patience), now)
		if answer.Verdict != Admitted {
			continue
		}
		if err := world.admit(); err != nil {
			return err
		}
	}
	return world.step(vm)
}

func (world *world) deliver(index int) error {
	letter := world.mail[index]
	if letter.answer != nil {
		world.vms[letter.vm].client.Receive(letter.answer, world.clock(letter.vm))
		return world.step(letter.vm)
	}
	if world.owner == nil {
		return nil
	}
	answer := world.owner.Grant(world.vms[letter.vm].name, letter.request, world.clock(world.ownerVM))
	if answer != nil {
		letter.request = nil
		letter.answer = answer
		world.mail = append(world.mail, letter)
	}
	return nil
}

func (world *world) drop(index int) {
	last := len(world.mail) - 1
	world.mail[index] = world.mail[last]
	world.mail = world.mail[:last]
}

// actions returns what may happen next; the seeded driver picks each name as often as it is listed.
func (world *world) actions() map[string]func() error {
	anyVM := func() int { return world.draw(len(world.vms)) }
	return map[string]func() error{
		"ask":  func() error { return world.ask(anyVM(), 1+world.draw(40), 2*time.Second) },
		"step": func() error { return world.step(anyVM()) },
		"tick": func() error { world.now += spool.Instant(world.draw(10)) * 1e6; return nil },
		"wait": func() error { world.now += spool.Instant(world.draw(500)) * 1e6; return nil },
		"deliver": func() error {
			if len(world.mail) == 0 {
				return nil
			}
			index := world.draw(len(world.mail))
			err := world.deliver(index)
			world.drop(index)
			return err
		},
		"repeat": func() error {
			if len(world.mail) == 0 {
				return nil
			}
			return world.deliver(world.draw(len(world.mail)))
		},
		"lose": func() error {
			if len(world.mail) > 0 {
				world.drop(world.draw(len(world.mail)))
			}
			return nil
		},
		"flush": func() error {
			for len(world.mail) > 0 {
				if err := world.deliver(0); err != nil {
					return err
				}
				world.mail = world.mail[1:]
			}
			return nil
		},
		"stepAll": func() error {
			for i := range world.vms {
				if err := world.step(i); err != nil {
					return err
				}
			}
			return nil
		},
		"resize":  world.resize,
		"restart": func() error { world.restart(anyVM()); return nil },
		"kill":    func() error { world.owner = nil; return nil },
		"takeover": func() error {
			world.ownerVM = anyVM()
			world.owner = NewOwner(world.spec, world.clock(world.ownerVM), world.options...)
			return nil
		},
		"learn": func() error {
			vm := anyVM()
			world.vms[vm].client.OwnerChanged(world.clock(vm))
			return world.step(vm)
		},
	}
}

var usualActions = []string{
	"ask", "ask", "ask", "step", "stepAll", "stepAll", "tick", "tick", "tick", "tick", "tick", "flush",
	"deliver", "deliver", "deliver", "repeat", "lose",
}

var rareActions = []string{"wait", "wait", "restart", "kill", "takeover", "takeover", "learn", "resize"}

// runSeed takes steps at random until one breaks the bound.
func runSeed(seed uint64, spec spool.TeamSpec, steps int, options ...Option) (*world, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	world := newWorld(spec, 8, random.IntN, options...)
	actions := world.actions()
	for range steps {
		names := usualActions
		if random.IntN(30) == 0 {
			names = rareActions
		}
		if err := actions[names[random.IntN(len(names))]](); err != nil {
			return world, fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return world, nil
}
