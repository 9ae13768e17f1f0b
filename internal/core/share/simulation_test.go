package share

import (
	"fmt"
	"math/rand/v2"
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// simulation runs one team's owners and clients on a network that delays, repeats, reorders and loses messages.
type simulation struct {
	initialSpec spool.TeamSpec
	spec        spool.TeamSpec // in force now
	options     []Option
	draw        func(below int) int
	now         spool.Instant // true time; each VM's clock has its own rate and offset
	vms         []*vm
	owner       *Owner
	ownerVM     int
	messages    []message
	oracle      bucketOracle
	nextID      uint64
	admitted    int
}

type vm struct {
	name        spool.VM
	client      *Client
	incarnation uint64
	clockRate   float64
	clockOffset spool.Instant
}

type message struct {
	vm      int
	request *wire.GrantRequest
	answer  *wire.GrantAnswer
}

// bucketOracle is a single bucket that all admissions draw on in the order of time: it runs empty
// if and only if some window of length t held more than burst + rate*t admissions.
// A smaller burst applies only once the grants made before it have expired.
type bucketOracle struct {
	rate        float64
	bursts      []burstLimit
	level       float64
	filledUntil spool.Instant
}

type burstLimit struct {
	burst float64
	until spool.Instant // last instant at which the burst applies; zero for the newest
}

func (oracle *bucketOracle) fill(now spool.Instant) {
	limit := 0.0
	for _, entry := range oracle.bursts {
		if entry.until == 0 || now <= entry.until {
			limit = max(limit, entry.burst)
		}
	}
	oracle.level += now.Sub(oracle.filledUntil).Seconds() * oracle.rate
	oracle.level = min(oracle.level, limit)
	oracle.filledUntil = now
}

func (oracle *bucketOracle) spend(now spool.Instant) bool {
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
	oracle.bursts[len(oracle.bursts)-1].until = now.Add(defaultGrantLifetime + defaultGrantLifetime/50)
	oracle.bursts = append(oracle.bursts, burstLimit{burst: spec.Burst})
}

func newSimulation(spec spool.TeamSpec, vms int, draw func(below int) int, options ...Option) *simulation {
	simulation := &simulation{initialSpec: spec, spec: spec, options: options, draw: draw}
	simulation.oracle = bucketOracle{rate: spec.RatePerSecond, level: spec.Burst}
	simulation.oracle.bursts = []burstLimit{{burst: spec.Burst}}
	for i := range vms {
		clockRate := 1 + defaultRateError*float64(i%3-1)
		added := &vm{name: spool.VM(fmt.Sprint("vm", i)), clockRate: clockRate, clockOffset: spool.Instant(i) * 1e12}
		simulation.vms = append(simulation.vms, added)
		simulation.restart(i)
	}
	simulation.owner = NewOwner(spec, simulation.clock(0), options...)
	return simulation
}

func (simulation *simulation) clock(vm int) spool.Instant {
	return simulation.vms[vm].clockOffset + spool.Instant(float64(simulation.now)*simulation.vms[vm].clockRate)
}

func (simulation *simulation) restart(vm int) {
	simulation.vms[vm].incarnation++
	simulation.vms[vm].client = NewClient(simulation.spec.Name, simulation.vms[vm].incarnation<<32, simulation.clock(vm), simulation.options...)
}

// resize halves, doubles or keeps the original rate and burst.
func (simulation *simulation) resize() error {
	factor := []float64{0.5, 1, 2}[simulation.draw(3)]
	simulation.spec.RatePerSecond = simulation.initialSpec.RatePerSecond * factor
	simulation.spec.Burst = max(1, simulation.initialSpec.Burst*factor)
	simulation.oracle.resize(simulation.spec, simulation.now)
	if simulation.owner != nil {
		simulation.owner.Resize(simulation.spec, simulation.clock(simulation.ownerVM))
	}
	return nil
}

func (simulation *simulation) admit() error {
	simulation.admitted++
	if !simulation.oracle.spend(simulation.now) {
		return fmt.Errorf("admission %d at %v breaks the bound", simulation.admitted, time.Duration(simulation.now))
	}
	return nil
}

func (simulation *simulation) step(vm int) error {
	outcome := simulation.vms[vm].client.Step(simulation.clock(vm))
	if outcome.Request != nil {
		simulation.messages = append(simulation.messages, message{vm: vm, request: outcome.Request})
	}
	for range outcome.Admitted {
		if err := simulation.admit(); err != nil {
			return err
		}
	}
	return nil
}

func (simulation *simulation) acquire(vm, count int, timeout time.Duration) error {
	for range count {
		simulation.nextID++
		now := simulation.clock(vm)
		answer := simulation.vms[vm].client.Acquire(simulation.nextID, now.Add(timeout), now)
		if answer.Verdict != Admitted {
			continue
		}
		if err := simulation.admit(); err != nil {
			return err
		}
	}
	return simulation.step(vm)
}

func (simulation *simulation) deliver(index int) error {
	message := simulation.messages[index]
	if message.answer != nil {
		simulation.vms[message.vm].client.Receive(message.answer, simulation.clock(message.vm))
		return simulation.step(message.vm)
	}
	if simulation.owner == nil {
		return nil
	}
	answer := simulation.owner.Grant(simulation.vms[message.vm].name, message.request, simulation.clock(simulation.ownerVM))
	if answer != nil {
		message.request = nil
		message.answer = answer
		simulation.messages = append(simulation.messages, message)
	}
	return nil
}

func (simulation *simulation) drop(index int) {
	last := len(simulation.messages) - 1
	simulation.messages[index] = simulation.messages[last]
	simulation.messages = simulation.messages[:last]
}

// actions returns the possible steps by name; runSeed picks a name as often as usualActions or rareActions list it.
func (simulation *simulation) actions() map[string]func() error {
	anyVM := func() int { return simulation.draw(len(simulation.vms)) }
	return map[string]func() error{
		"ask":  func() error { return simulation.acquire(anyVM(), 1+simulation.draw(40), 2*time.Second) },
		"step": func() error { return simulation.step(anyVM()) },
		"tick": func() error { simulation.now += spool.Instant(simulation.draw(10)) * 1e6; return nil },
		"wait": func() error { simulation.now += spool.Instant(simulation.draw(500)) * 1e6; return nil },
		"deliver": func() error {
			if len(simulation.messages) == 0 {
				return nil
			}
			index := simulation.draw(len(simulation.messages))
			err := simulation.deliver(index)
			simulation.drop(index)
			return err
		},
		"repeat": func() error {
			if len(simulation.messages) == 0 {
				return nil
			}
			return simulation.deliver(simulation.draw(len(simulation.messages)))
		},
		"lose": func() error {
			if len(simulation.messages) > 0 {
				simulation.drop(simulation.draw(len(simulation.messages)))
			}
			return nil
		},
		"flush": func() error {
			for len(simulation.messages) > 0 {
				if err := simulation.deliver(0); err != nil {
					return err
				}
				simulation.messages = simulation.messages[1:]
			}
			return nil
		},
		"stepAll": func() error {
			for i := range simulation.vms {
				if err := simulation.step(i); err != nil {
					return err
				}
			}
			return nil
		},
		"resize":  simulation.resize,
		"restart": func() error { simulation.restart(anyVM()); return nil },
		"kill":    func() error { simulation.owner = nil; return nil },
		"takeover": func() error {
			simulation.ownerVM = anyVM()
			simulation.owner = NewOwner(simulation.spec, simulation.clock(simulation.ownerVM), simulation.options...)
			return nil
		},
		"learn": func() error {
			vm := anyVM()
			simulation.vms[vm].client.OwnerChanged(simulation.clock(vm))
			return simulation.step(vm)
		},
	}
}

var usualActions = []string{
	"ask", "ask", "ask", "step", "stepAll", "stepAll", "tick", "tick", "tick", "tick", "tick", "flush",
	"deliver", "deliver", "deliver", "repeat", "lose",
}

var rareActions = []string{"wait", "wait", "restart", "kill", "takeover", "takeover", "learn", "resize"}

// runSeed runs random steps and returns an error if one breaks the bound.
func runSeed(seed uint64, spec spool.TeamSpec, steps int, options ...Option) (*simulation, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	simulation := newSimulation(spec, 8, random.IntN, options...)
	actions := simulation.actions()
	for range steps {
		names := usualActions
		if random.IntN(30) == 0 {
			names = rareActions
		}
		if err := actions[names[random.IntN(len(names))]](); err != nil {
			return simulation, fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return simulation, nil
}
