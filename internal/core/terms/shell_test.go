package terms

import (
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// tick sends what the holder owes and tells the leader of the lease and the time.
func (world *world) tick(proxy *proxy) {
	now := world.clock.Now()
	for _, out := range proxy.holder.DueRequests(now) {
		world.request(proxy, out)
	}
	for change := proxy.holder.NextChange(now); change != lease.Unchanged; change = proxy.holder.NextChange(now) {
		if change == lease.Gained {
			world.handle(proxy, LeaseGained{Record: proxy.holder.NewestRecord()})
		} else {
			world.handle(proxy, LeaseLost{})
		}
	}
	world.handle(proxy, Tick{})
}

// message runs do at another proxy, or at the same one at once, unless it gets lost.
func (world *world) message(from, to *proxy, do func()) {
	if from == to {
		world.arrive(to, 0, do)
		return
	}
	delay, ok := world.travel(from.domain, to.domain, from.vm, to.vm)
	if ok {
		world.arrive(to, delay, do)
	}
}

func (world *world) request(from *proxy, out lease.OutgoingRequest) {
	to := world.proxy(out.To)
	world.message(from, to, func() {
		answer := to.witness.Vote(from.vm, out.Request, world.clock.Now())
		world.message(to, from, func() { world.receive(from, to.vm, answer) })
	})
}

func (world *world) receive(proxy *proxy, from spool.VM, answer *wire.VoteAnswer) {
	proxy.holder.Receive(from, answer, world.clock.Now())
	world.report(proxy)
}

// report tells the leader once a majority has voted with the record that it asked for.
func (world *world) report(proxy *proxy) {
	if proxy.awaited != nil && proxy.holder.BackedByMajority(proxy.awaited) {
		record := proxy.awaited
		proxy.awaited = nil
		world.handle(proxy, Backed{Record: record})
	}
}

// gossip tells the proxy of the quorum and the term as the platform has them, and others of the quorum it has seen.
func (world *world) gossip(proxy *proxy) {
	world.read(proxy, func(record *wire.TermRecord, quorum lease.Quorum) {
		now := world.clock.Now()
		proxy.witness.SetQuorum(quorum, false)
		if proxy.witness.NeedsPlatformRead() {
			proxy.witness.MergeRecord(record)
			proxy.witness.SetQuorum(quorum, true)
		}
		proxy.holder.SetQuorum(quorum, now)
		world.handle(proxy, QuorumChanged{Members: quorum.Members, Domains: world.domains()})
		world.act(proxy, proxy.changer.ObserveQuorum(quorum, now))
	}, func() {})
	var alive []spool.Member
	for _, other := range world.proxies {
		delay, ok := world.travel(proxy.domain, other.domain, proxy.vm, other.vm)
		if other.paused || (!ok && other != proxy) {
			continue
		}
		alive = append(alive, spool.Member{VM: other.vm, Domain: other.domain})
		seen := proxy.witness.QuorumVersion()
		world.arrive(other, delay, func() {
			world.act(other, other.changer.ObserveWitness(proxy.vm, seen, world.clock.Now()))
		})
	}
	proxy.changer.SetMembers(alive, world.clock.Now())
}

// act carries out a changer's actions; it is never told that a write was done.
func (world *world) act(proxy *proxy, actions []lease.Action) {
	for _, action := range actions {
		if write, ok := action.(lease.WriteQuorum); ok && world.reachesPlatform(proxy) {
			world.platform.writeQuorum(write)
		}
		world.arrive(proxy, world.platform.delay, func() {
			world.act(proxy, proxy.changer.ActionFailed(world.clock.Now()))
		})
	}
}

func (world *world) reachesPlatform(proxy *proxy) bool {
	return !world.platform.down && !world.isolated[string(proxy.vm)] && !world.isolated[string(proxy.domain)]
}

func (world *world) read(proxy *proxy, do func(*wire.TermRecord, lease.Quorum), failed func()) {
	delay := world.platform.delay / 2
	world.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		if !world.reachesPlatform(proxy) {
			world.arrive(proxy, delay, failed)
			return
		}
		record, quorum := world.platform.record, world.platform.quorum
		world.arrive(proxy, delay, func() { do(record, quorum) })
	}))
}

func (world *world) writeTerm(proxy *proxy, effect WriteTerm) {
	delay := world.platform.delay / 2
	world.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		written := TermWritten{Nonce: effect.Record.Nonce, Result: WriteUnknown}
		if world.reachesPlatform(proxy) {
			written.Result, written.Version = world.platform.write(effect, &world.oracle)
		}
		world.arrive(proxy, delay, func() { world.handle(proxy, written) })
	}))
}

// handle passes an event to the leader and carries its effects out.
func (world *world) handle(proxy *proxy, event Event) {
	for _, effect := range proxy.leader.Handle(event, world.clock.Now()) {
		world.carryOut(proxy, effect)
	}
}

func (world *world) carryOut(proxy *proxy, effect Effect) {
	switch effect := effect.(type) {
	case Poll:
		world.pollAll(proxy)
	case ReadTerm:
		world.read(proxy,
			func(record *wire.TermRecord, _ lease.Quorum) { world.handle(proxy, TermRead{Record: record}) },
			func() { world.handle(proxy, TermReadFailed{}) })
	case WriteTerm:
		world.writeTerm(proxy, effect)
	case Probe:
		world.probe(proxy, effect)
	case Promote:
		world.promote(proxy, effect)
	case Follow:
		world.follow(proxy, effect)
	case Vote:
		proxy.awaited = effect.Record
		proxy.holder.SetRecord(effect.Record)
		for _, out := range proxy.holder.DueRequests(world.clock.Now()) {
			world.request(proxy, out)
		}
		world.report(proxy)
	case Open:
		if owner := world.platform.owners[uint64(effect.Term)]; owner != string(effect.Primary) {
			world.violated("term %d is opened for %s and recorded for %q", effect.Term, effect.Primary, owner)
		}
		world.open(effect, world.server(effect.Primary).log)
	case Yield:
		proxy.holder.Yield(effect.BackOff, world.clock.Now())
	case Note:
		proxy.notes = append(proxy.notes, timedNote{Note: effect, at: world.clock.Now()})
	}
}

func (world *world) probe(from *proxy, effect Probe) {
	to := world.proxy(effect.To)
	reply := func(reached bool) {
		answer := &wire.ProbeAnswer{Sequence: effect.Request.Sequence, Reached: reached}
		world.message(to, from, func() { world.handle(from, ProbeSeen{From: to.vm, Answer: answer}) })
	}
	world.message(from, to, func() {
		server := world.server(spool.Server(effect.Request.Server))
		world.ask(to, server, 0, func() func() { return func() { reply(true) } }, func(bool) { reply(false) })
	})
}

func (world *world) promote(proxy *proxy, effect Promote) {
	failed := func(bool) { world.handle(proxy, PromoteFailed(effect)) }
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
