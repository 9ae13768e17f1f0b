package slope

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tickInterval   = 10 * time.Millisecond
	assignInterval = 100 * time.Millisecond
	digestInterval = 500 * time.Millisecond
	warmUp         = 2 * time.Second
)

// world is a core whose fleet is played by a script.
type world struct {
	core       *core.Core
	now        spool.Instant
	members    int
	digest     *wire.Heartbeat
	answer     func(effect core.Effect) core.Event // nil events are left out
	feed       func()                              // brings the events before a tick, which are not measured
	plain      meter                               // ticks that assign no roles
	assign     meter                               // ticks that assign roles and send no heartbeats
	heartbeats meter                               // ticks that send heartbeats
	heard      meter
	sent       []*wire.Envelope // of the last heartbeat
	votes      int              // requests sent to witnesses
}

func newWorld(members int, objects []spool.Object, answer func(effect core.Effect) core.Event) *world {
	world := &world{
		core: core.New(self(), 0), members: members, answer: answer,
		digest: &wire.Heartbeat{Domain: "domain-01", Address: "10.20.0.2:7000", Members: infos(members)},
	}
	world.handle(core.ObjectsRead{Objects: objects, Version: bootVersion, SentAt: 0})
	return world
}

// handle brings an event and the answers to its effects to the core.
func (world *world) handle(event core.Event) {
	effects := append([]core.Effect(nil), world.core.Handle(event, world.now)...)
	for _, effect := range effects {
		world.count(effect)
		if world.answer == nil {
			continue
		}
		if answer := world.answer(effect); answer != nil {
			world.handle(answer)
		}
	}
}

// count takes note of what the core sends.
func (world *world) count(effect core.Effect) {
	send, isSend := effect.(core.Send)
	if !isSend {
		return
	}
	if send.Envelope.GetHeartbeat() != nil {
		world.sent = append(world.sent, send.Envelope)
	}
	if send.Envelope.GetVoteRequest() != nil {
		world.votes++
	}
}

// advance lets the core live for a while.
func (world *world) advance(duration time.Duration) {
	end := world.now.Add(duration)
	for world.now < end {
		world.now = world.now.Add(tickInterval)
		if time.Duration(world.now)%digestInterval == 0 && world.members > 1 {
			world.heard.time(func() { world.handle(world.heartbeat()) })
		}
		if world.feed != nil {
			world.feed()
		}
		world.tick()
	}
}

// tick measures a tick and sorts it by what the core did; a core that starts at zero assigns in its first tick.
func (world *world) tick() {
	world.sent = world.sent[:0]
	spent := meter{}
	spent.time(func() { world.handle(core.Tick{}) })
	switch {
	case len(world.sent) > 0:
		world.heartbeats.add(spent)
	case time.Duration(world.now)%assignInterval == tickInterval:
		world.assign.add(spent)
	default:
		world.plain.add(spent)
	}
}

func (world *world) heartbeat() core.Received {
	return core.Received{From: memberAt(1).VM, Envelope: &wire.Envelope{
		From: string(memberAt(1).VM), Incarnation: memberAt(1).Incarnation,
		Body: &wire.Envelope_Heartbeat{Heartbeat: world.digest},
	}}
}

// settle warms the world up, then measures it over a span.
func (world *world) settle(span time.Duration) {
	world.advance(warmUp)
	world.plain, world.assign, world.heartbeats, world.heard = meter{}, meter{}, meter{}, meter{}
	world.advance(span)
}

// millisPerSecond is the processor time of a second's ticks.
func (world *world) millisPerSecond() float64 {
	all := meter{}
	all.add(world.plain)
	all.add(world.assign)
	all.add(world.heartbeats)
	return all.mean() * float64(time.Second/tickInterval) / 1000
}

// nextHeartbeat returns the heartbeat that the core sends next.
func (world *world) nextHeartbeat() (*wire.Envelope, error) {
	for range 100 {
		world.advance(tickInterval)
		if len(world.sent) > 0 {
			return world.sent[0], nil
		}
	}
	return nil, eris.New("no heartbeat was sent")
}
