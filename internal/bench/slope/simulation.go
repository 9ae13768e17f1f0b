package slope

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tickInterval           = 10 * time.Millisecond
	assignInterval         = 100 * time.Millisecond
	relayHeartbeatInterval = 500 * time.Millisecond
	warmUp                 = 2 * time.Second
)

// simulation runs a core on virtual time and simulates the other members of its fleet.
type simulation struct {
	core           *core.Core
	now            spool.Instant
	members        int
	relayHeartbeat *wire.Heartbeat
	respond        func(effect core.Effect) core.Event // nil events are ignored
	beforeTick     func()                              // handles events before a tick, which are not measured
	plainTicks     meter                               // ticks that assign no roles
	assignTicks    meter                               // ticks that assign roles and send no heartbeats
	heartbeatTicks meter                               // ticks that send heartbeats
	received       meter                               // relay heartbeats that the core handles
	sentHeartbeats []*wire.Envelope                    // sent in the last tick
	votes          int                                 // requests sent to witnesses
}

func newSimulation(members int, objects []spool.Object, respond func(effect core.Effect) core.Event) *simulation {
	simulation := &simulation{
		core: core.New(measuredMember(), 0), members: members, respond: respond,
		relayHeartbeat: &wire.Heartbeat{Domain: "domain-01", Address: "10.20.0.2:7000", Members: memberInfos(members)},
	}
	simulation.handle(core.ObjectsRead{Objects: objects, Version: objectVersion, SentAt: 0})
	return simulation
}

// handle passes an event and the answers to its effects to the core.
func (simulation *simulation) handle(event core.Event) {
	effects := append([]core.Effect(nil), simulation.core.Handle(event, simulation.now)...)
	for _, effect := range effects {
		simulation.countSent(effect)
		if simulation.respond == nil {
			continue
		}
		if answer := simulation.respond(effect); answer != nil {
			simulation.handle(answer)
		}
	}
}

// countSent records the heartbeats and counts the vote requests that the core sends.
func (simulation *simulation) countSent(effect core.Effect) {
	send, isSend := effect.(core.Send)
	if !isSend {
		return
	}
	if send.Envelope.GetHeartbeat() != nil {
		simulation.sentHeartbeats = append(simulation.sentHeartbeats, send.Envelope)
	}
	if send.Envelope.GetVoteRequest() != nil {
		simulation.votes++
	}
}

// advance runs the core for a duration of virtual time.
func (simulation *simulation) advance(duration time.Duration) {
	end := simulation.now.Add(duration)
	for simulation.now < end {
		simulation.now = simulation.now.Add(tickInterval)
		if time.Duration(simulation.now)%relayHeartbeatInterval == 0 && simulation.members > 1 {
			simulation.received.measure(func() { simulation.handle(simulation.heartbeat()) })
		}
		if simulation.beforeTick != nil {
			simulation.beforeTick()
		}
		simulation.tick()
	}
}

// tick measures a tick and adds it to the meter of its kind; a core that starts at zero assigns in its first tick.
func (simulation *simulation) tick() {
	simulation.sentHeartbeats = simulation.sentHeartbeats[:0]
	spent := meter{}
	spent.measure(func() { simulation.handle(core.Tick{}) })
	switch {
	case len(simulation.sentHeartbeats) > 0:
		simulation.heartbeatTicks.add(spent)
	case time.Duration(simulation.now)%assignInterval == tickInterval:
		simulation.assignTicks.add(spent)
	default:
		simulation.plainTicks.add(spent)
	}
}

func (simulation *simulation) heartbeat() core.Received {
	return core.Received{From: memberAt(1).VM, Envelope: &wire.Envelope{
		From: string(memberAt(1).VM), Incarnation: memberAt(1).Incarnation,
		Body: &wire.Envelope_Heartbeat{Heartbeat: simulation.relayHeartbeat},
	}}
}

// warmUpAndMeasure runs the warm-up, then resets the meters and runs for the given duration.
func (simulation *simulation) warmUpAndMeasure(duration time.Duration) {
	simulation.advance(warmUp)
	simulation.plainTicks, simulation.assignTicks, simulation.heartbeatTicks, simulation.received = meter{}, meter{}, meter{}, meter{}
	simulation.advance(duration)
}

// cpuMillisPerSecond returns the CPU time in milliseconds of the ticks in one second.
func (simulation *simulation) cpuMillisPerSecond() float64 {
	total := meter{}
	total.add(simulation.plainTicks)
	total.add(simulation.assignTicks)
	total.add(simulation.heartbeatTicks)
	return total.mean() * float64(time.Second/tickInterval) / 1000
}

// nextHeartbeat returns the heartbeat that the core sends next.
func (simulation *simulation) nextHeartbeat() (*wire.Envelope, error) {
	for range 100 {
		simulation.advance(tickInterval)
		if len(simulation.sentHeartbeats) > 0 {
			return simulation.sentHeartbeats[0], nil
		}
	}
	return nil, eris.New("the core sent no heartbeat in 100 ticks")
}
