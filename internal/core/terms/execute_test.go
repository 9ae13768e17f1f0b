package terms

import (
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// tick sends the holder's due requests and passes changes of the lease and a Tick to the leader.
func (cluster *cluster) tick(proxy *proxy) {
	now := cluster.clock.Now()
	for _, out := range proxy.holder.DueRequests(now) {
		cluster.sendVoteRequest(proxy, out)
	}
	for change := proxy.holder.NextChange(now); change != lease.Unchanged; change = proxy.holder.NextChange(now) {
		if change == lease.Gained {
			cluster.handle(proxy, LeaseGained{Record: proxy.holder.NewestRecord()})
		} else {
			cluster.handle(proxy, LeaseLost{})
		}
	}
	cluster.handle(proxy, Tick{})
}

// sendMessage runs do at the receiver unless the message is lost; a message to itself has no delay.
func (cluster *cluster) sendMessage(from, to *proxy, do func()) {
	if from == to {
		cluster.deliver(to, 0, do)
		return
	}
	delay, ok := cluster.messageDelay(from.domain, to.domain, from.vm, to.vm)
	if ok {
		cluster.deliver(to, delay, do)
	}
}

func (cluster *cluster) sendVoteRequest(from *proxy, out lease.OutgoingRequest) {
	to := cluster.proxy(out.To)
	cluster.sendMessage(from, to, func() {
		answer := to.witness.Vote(from.vm, out.Request, cluster.clock.Now())
		cluster.sendMessage(to, from, func() { cluster.receiveVote(from, to.vm, answer) })
	})
}

func (cluster *cluster) receiveVote(proxy *proxy, from spool.VM, answer *wire.VoteAnswer) {
	proxy.holder.Receive(from, answer, cluster.clock.Now())
	cluster.reportMajority(proxy)
}

// reportMajority sends MajorityVoted once a majority has voted for the awaited record.
func (cluster *cluster) reportMajority(proxy *proxy) {
	if proxy.awaitedRecord != nil && proxy.holder.BackedByMajority(proxy.awaitedRecord) {
		record := proxy.awaitedRecord
		proxy.awaitedRecord = nil
		cluster.handle(proxy, MajorityVoted{Record: record})
	}
}

// exchangeQuorum reads quorum and term record from the platform, and sends the quorum version seen to all proxies.
func (cluster *cluster) exchangeQuorum(proxy *proxy) {
	cluster.readRecord(proxy, func(record *wire.TermRecord, quorum lease.Quorum) {
		now := cluster.clock.Now()
		proxy.witness.SetQuorum(quorum, false)
		if proxy.witness.NeedsPlatformRead() {
			proxy.witness.MergeRecord(record)
			proxy.witness.SetQuorum(quorum, true)
		}
		proxy.holder.SetQuorum(quorum, now)
		cluster.handle(proxy, QuorumChanged{Members: quorum.Members, Domains: cluster.domains()})
		cluster.executeActions(proxy, proxy.changer.ObserveQuorum(quorum, now))
	}, func() {})
	var alive []spool.Member
	for _, other := range cluster.proxies {
		delay, ok := cluster.messageDelay(proxy.domain, other.domain, proxy.vm, other.vm)
		if other.paused || (!ok && other != proxy) {
			continue
		}
		alive = append(alive, spool.Member{VM: other.vm, Domain: other.domain})
		seen := proxy.witness.QuorumVersion()
		cluster.deliver(other, delay, func() {
			cluster.executeActions(other, other.changer.ObserveWitness(proxy.vm, seen, cluster.clock.Now()))
		})
	}
	proxy.changer.SetMembers(alive, cluster.clock.Now())
}

// executeActions executes a changer's actions; it calls ActionFailed even for a write that was done.
func (cluster *cluster) executeActions(proxy *proxy, actions []lease.Action) {
	for _, action := range actions {
		if write, ok := action.(lease.WriteQuorum); ok && cluster.reachesPlatform(proxy) {
			cluster.platform.writeQuorum(write)
		}
		cluster.deliver(proxy, cluster.platform.delay, func() {
			cluster.executeActions(proxy, proxy.changer.ActionFailed(cluster.clock.Now()))
		})
	}
}

func (cluster *cluster) reachesPlatform(proxy *proxy) bool {
	return !cluster.platform.down && !cluster.isolated[string(proxy.vm)] && !cluster.isolated[string(proxy.domain)]
}

func (cluster *cluster) readRecord(proxy *proxy, do func(*wire.TermRecord, lease.Quorum), failed func()) {
	delay := cluster.platform.delay / 2
	cluster.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		if !cluster.reachesPlatform(proxy) {
			cluster.deliver(proxy, delay, failed)
			return
		}
		record, quorum := cluster.platform.record, cluster.platform.quorum
		cluster.deliver(proxy, delay, func() { do(record, quorum) })
	}))
}

func (cluster *cluster) writeTerm(proxy *proxy, effect WriteTerm) {
	delay := cluster.platform.delay / 2
	cluster.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		written := TermWritten{Nonce: effect.Record.Nonce, Result: WriteUnknown}
		if cluster.reachesPlatform(proxy) {
			written.Result, written.Version = cluster.platform.write(effect, &cluster.oracle)
		}
		cluster.deliver(proxy, delay, func() { cluster.handle(proxy, written) })
	}))
}

// handle passes an event to the leader and executes the effects.
func (cluster *cluster) handle(proxy *proxy, event Event) {
	for _, effect := range proxy.leader.Handle(event, cluster.clock.Now()) {
		cluster.execute(proxy, effect)
	}
}

func (cluster *cluster) execute(proxy *proxy, effect Effect) {
	switch effect := effect.(type) {
	case Poll:
		cluster.pollAll(proxy)
	case ReadTerm:
		cluster.readRecord(proxy,
			func(record *wire.TermRecord, _ lease.Quorum) { cluster.handle(proxy, TermRead{Record: record}) },
			func() { cluster.handle(proxy, TermReadFailed{}) })
	case WriteTerm:
		cluster.writeTerm(proxy, effect)
	case Probe:
		cluster.probe(proxy, effect)
	case Promote:
		cluster.promote(proxy, effect)
	case Follow:
		cluster.follow(proxy, effect)
	case RequestVotes:
		proxy.awaitedRecord = effect.Record
		proxy.holder.SetRecord(effect.Record)
		for _, out := range proxy.holder.DueRequests(cluster.clock.Now()) {
			cluster.sendVoteRequest(proxy, out)
		}
		cluster.reportMajority(proxy)
	case Open:
		if recorded := cluster.platform.primaryByTerm[uint64(effect.Term)]; recorded != string(effect.Primary) {
			cluster.addViolation("term %d is opened for %s, but recorded for %q", effect.Term, effect.Primary, recorded)
		}
		cluster.open(effect, cluster.server(effect.Primary).log)
	case Yield:
		proxy.holder.Yield(effect.Backoff, cluster.clock.Now())
	case Note:
		proxy.notes = append(proxy.notes, timedNote{Note: effect, at: cluster.clock.Now()})
	}
}

func (cluster *cluster) probe(from *proxy, effect Probe) {
	to := cluster.proxy(effect.To)
	reply := func(reached bool) {
		answer := &wire.ProbeAnswer{Sequence: effect.Request.Sequence, Reached: reached}
		cluster.sendMessage(to, from, func() { cluster.handle(from, ProbeAnswered{From: to.vm, Answer: answer}) })
	}
	cluster.sendMessage(from, to, func() {
		server := cluster.server(spool.Server(effect.Request.Server))
		cluster.call(to, server, 0, func() func() { return func() { reply(true) } }, func(bool) { reply(false) })
	})
}

func (cluster *cluster) promote(proxy *proxy, effect Promote) {
	failed := func(bool) { cluster.handle(proxy, PromoteFailed(effect)) }
	server := cluster.server(effect.Server)
	cluster.call(proxy, server, promoteDuration, func() func() {
		if !server.promote(effect.Term) {
			return func() { failed(false) }
		}
		status := server.currentStatus()
		return func() { cluster.handle(proxy, Promoted{Term: effect.Term, Status: status}) }
	}, failed)
}

func (cluster *cluster) follow(proxy *proxy, effect Follow) {
	server := cluster.server(effect.Server)
	cluster.call(proxy, server, time.Millisecond, func() func() {
		server.follow(effect.Term, cluster.server(effect.Primary))
		return func() { cluster.handle(proxy, Followed{Server: effect.Server, Term: effect.Term}) }
	}, func(bool) { cluster.handle(proxy, FollowFailed{Server: effect.Server, Term: effect.Term}) })
}
