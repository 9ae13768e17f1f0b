package policy

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	groupName       = "group"
	witnessCount    = 5
	platformLatency = 4 * time.Millisecond
	promotionTime   = 50 * time.Millisecond
)

// platformRecord is the platform's record of the group's term.
type platformRecord struct {
	record  *wire.TermRecord
	version uint64
}

func vmName(vm int) spool.VM { return spool.VM(fmt.Sprint("vm", vm)) }

func (trial *trial) domain(vm int) spool.Domain {
	return spool.Domain(fmt.Sprint("region", trial.region(vm)))
}

func (group *group) startTerms() {
	domains := map[spool.VM]spool.Domain{}
	var members []spool.VM
	for vm := range group.trial.size.VMs {
		domains[vmName(vm)] = group.trial.domain(vm)
		if vm < witnessCount {
			members = append(members, vmName(vm))
		}
	}
	group.handle(terms.ServersChanged{Servers: group.trial.log.specs()})
	group.handle(terms.QuorumChanged{Members: members, Domains: domains})
	group.handle(terms.LeaseGained{})
}

func (group *group) handle(event terms.Event) {
	for _, effect := range group.terms.Handle(event, group.trial.clock.Now()) {
		group.carryOut(effect)
	}
}

func (group *group) carryOut(effect terms.Effect) {
	trial := group.trial
	switch effect := effect.(type) {
	case terms.Poll:
		group.poll()
	case terms.ReadTerm:
		group.callPlatform(func() terms.Event { return terms.TermRead{Record: group.record.read()} })
	case terms.WriteTerm:
		group.callPlatform(func() terms.Event { return group.record.write(effect) })
	case terms.Probe:
		group.probe(effect)
	case terms.Promote:
		trial.after(trial.size.Near+promotionTime, func() { group.promote(effect) })
	case terms.Follow:
		trial.after(trial.size.Near, func() { group.follow(effect) })
	case terms.Vote:
		trial.after(2*trial.size.Far, func() { group.handle(terms.Backed(effect)) })
	case terms.Open:
		group.table.OpenTerm(effect.Primary, route.TermStart{Term: effect.Term, Start: effect.Start})
		group.retryGap()
	case terms.Closed, terms.Drain:
		group.table.CloseTerm()
	}
}

// callPlatform carries a call to the platform and its answer back; in an outage there is no answer.
func (group *group) callPlatform(call func() terms.Event) {
	if group.trial.scenario.Outage.covers(group.trial.elapsed()) {
		return
	}
	group.trial.after(platformLatency, func() { group.handle(call()) })
}

func (record *platformRecord) read() *wire.TermRecord {
	if record.record == nil {
		return nil
	}
	return proto.Clone(record.record).(*wire.TermRecord)
}

func (record *platformRecord) write(effect terms.WriteTerm) terms.Event {
	if uint64(effect.Expected) != record.version {
		return terms.TermWritten{Nonce: effect.Record.Nonce, Result: terms.WriteConflict}
	}
	record.version++
	record.record = proto.Clone(effect.Record).(*wire.TermRecord)
	record.record.Version = record.version
	return terms.TermWritten{Nonce: effect.Record.Nonce, Version: spool.Version(record.version)}
}

func (group *group) index(server spool.Server) int { return group.table.Index(server) }

func (group *group) probe(effect terms.Probe) {
	trial := group.trial
	server := group.index(spool.Server(effect.Request.Server))
	trial.after(2*trial.size.Far, func() {
		answer := &wire.ProbeAnswer{
			Group:    groupName,
			Server:   effect.Request.Server,
			Sequence: effect.Request.Sequence,
			Reached:  !trial.log.down(server),
		}
		group.handle(terms.ProbeSeen{From: effect.To, Answer: answer})
	})
}

func (group *group) promote(effect terms.Promote) {
	trial := group.trial
	server := group.index(effect.Server)
	if trial.log.down(server) {
		group.handle(terms.PromoteFailed(effect))
		return
	}
	trial.log.promote(server, effect.Term)
	status := trial.log.status(server)
	trial.after(trial.size.Near, func() { group.handle(terms.Promoted{Term: effect.Term, Status: status}) })
}

func (group *group) follow(effect terms.Follow) {
	server := group.index(effect.Server)
	if group.trial.log.down(server) {
		group.handle(terms.FollowFailed{Server: effect.Server, Term: effect.Term})
		return
	}
	group.trial.log.terms[server] = effect.Term
	group.handle(terms.Followed{Server: effect.Server, Term: effect.Term})
}
