package terms

import (
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// tick sends what the holder owes and tells the keeper of the lease and the time.
func (world *world) tick(proxy *proxy) {
	now := world.clock.Now()
	for _, out := range proxy.holder.Due(now) {
		world.request(proxy, out)
	}
	for change := proxy.holder.Poll(now); change != lease.Unchanged; change = proxy.holder.Poll(now) {
		if change == lease.Gained {
			world.handle(proxy, LeaseGained{Record: proxy.holder.Newest()})
		} else {
			world.handle(proxy, LeaseLost{})
		}
	}
	world.handle(proxy, Tick{})
}

func (world *world) request(from *proxy, out lease.Out) {
	to := world.proxy(out.To)
	delay, ok := world.travel(from.domain, to.domain, from.vm, to.vm)
	if from == to {
		delay, ok = 0, true
	}
	if !ok {
		return
	}
	world.arrive(to, delay, func() {
		answer := to.witness.Pledge(from.vm, out.Request, world.clock.Now())
		back, ok := world.travel(to.domain, from.domain, from.vm, to.vm)
		if from == to {
			back, ok = 0, true
		}
		if ok {
			world.arrive(from, back, func() { world.receive(from, to.vm, answer) })
		}
	})
}

func (world *world) receive(proxy *proxy, from spool.VM, answer *wire.PledgeAnswer) {
	proxy.holder.Receive(from, answer, world.clock.Now())
	if proxy.awaited != nil && proxy.holder.Backed(proxy.awaited) {
		record := proxy.awaited
		proxy.awaited = nil
		world.handle(proxy, Backed{Record: record})
	}
}

// readPlatform tells the witness of the roster and the term as the platform has them.
func (world *world) readPlatform(proxy *proxy) {
	world.read(proxy, func(record *wire.TermRecord) {
		proxy.witness.Learn(record)
		proxy.witness.Confirm(world.roster, true)
		proxy.holder.SetRoster(world.roster, world.clock.Now())
	}, func() {})
}

func (world *world) read(proxy *proxy, do func(*wire.TermRecord), failed func()) {
	delay := world.platform.delay / 2
	world.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		if world.platform.down || world.isolated[string(proxy.vm)] || world.isolated[string(proxy.domain)] {
			world.arrive(proxy, delay, failed)
			return
		}
		record := world.platform.record
		world.arrive(proxy, delay, func() { do(record) })
	}))
}

func (world *world) writeTerm(proxy *proxy, effect WriteTerm) {
	delay := world.platform.delay / 2
	world.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		written := TermWritten{Nonce: effect.Record.Nonce, Result: WriteUnknown}
		if !world.platform.down && !world.isolated[string(proxy.vm)] && !world.isolated[string(proxy.domain)] {
			written.Result, written.Version = world.platform.write(effect, &world.oracle)
		}
		world.arrive(proxy, delay, func() { world.handle(proxy, written) })
	}))
}

// handle passes an event to the keeper and carries its effects out.
func (world *world) handle(proxy *proxy, event Event) {
	for _, effect := range proxy.keeper.Handle(event, world.clock.Now()) {
		world.carryOut(proxy, effect)
	}
}

func (world *world) carryOut(proxy *proxy, effect Effect) {
	switch effect := effect.(type) {
	case Poll:
		world.pollAll(proxy)
	case ReadTerm:
		world.read(proxy,
			func(record *wire.TermRecord) { world.handle(proxy, TermRead{Record: record}) },
			func() { world.handle(proxy, TermReadFailed{}) })
	case WriteTerm:
		world.writeTerm(proxy, effect)
	case Probe:
		world.probe(proxy, effect)
	case Promote:
		world.promote(proxy, effect)
	case Follow:
		world.follow(proxy, effect)
	case Pledge:
		proxy.awaited = effect.Record
		proxy.holder.SetRecord(effect.Record)
		for _, out := range proxy.holder.Due(world.clock.Now()) {
			world.request(proxy, out)
		}
	case Open:
		world.open(effect, world.server(effect.Primary).log)
	case Yield:
		proxy.holder.Yield(effect.BackOff, world.clock.Now())
	case Note:
		proxy.notes = append(proxy.notes, timedNote{Note: effect, at: world.clock.Now()})
	}
}

func (world *world) probe(from *proxy, effect Probe) {
	to := world.proxy(effect.To)
	delay, ok := world.travel(from.domain, to.domain, from.vm, to.vm)
	if !ok {
		return
	}
	answer := &wire.ProbeAnswer{Group: effect.Request.Group, Server: effect.Request.Server, Sequence: effect.Request.Sequence}
	reply := func(reached bool) {
		back, ok := world.travel(to.domain, from.domain, from.vm, to.vm)
		if ok {
			answer.Reached = reached
			world.arrive(from, back, func() { world.handle(from, ProbeSeen{From: to.vm, Answer: answer}) })
		}
	}
	world.arrive(to, delay, func() {
		server := world.server(spool.Server(effect.Request.Server))
		world.ask(to, server, 0, func() func() { return func() { reply(true) } }, func(bool) { reply(false) })
	})
}

func (world *world) promote(proxy *proxy, effect Promote) {
	failed := func(bool) { world.handle(proxy, PromoteFailed{Server: effect.Server, Term: effect.Term}) }
	server := world.server(effect.Server)
	world.ask(proxy, server, promoteTakes, func() func() {
		if !server.promote(effect.Term) {
			return func() { failed(false) }
		}
		status := server.report()
		return func() { world.handle(proxy, Promoted{Term: effect.Term, Status: status}) }
	}, failed)
}

func (world *world) follow(proxy *proxy, effect Follow) {
	server := world.server(effect.Server)
	world.ask(proxy, server, time.Millisecond, func() func() {
		server.follow(effect.Term, world.server(effect.Primary))
		return func() { world.handle(proxy, Followed{Server: effect.Server, Term: effect.Term}) }
	}, func(bool) { world.handle(proxy, FollowFailed{Server: effect.Server, Term: effect.Term}) })
}
