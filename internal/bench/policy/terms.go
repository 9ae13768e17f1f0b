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

func (trial *trial) domainOf(vm int) spool.Domain {
	return spool.Domain(fmt.Sprint("region", trial.regionOf(vm)))
}

func (groupLeader *groupLeader) startTerms() {
	domains := map[spool.VM]spool.Domain{}
	var members []spool.VM
	for vm := range groupLeader.trial.deployment.VMs {
		domains[vmName(vm)] = groupLeader.trial.domainOf(vm)
		if vm < witnessCount {
			members = append(members, vmName(vm))
		}
	}
	groupLeader.handle(terms.ServersChanged{Servers: groupLeader.trial.log.specs()})
	groupLeader.handle(terms.QuorumChanged{Members: members, Domains: domains})
	groupLeader.handle(terms.LeaseGained{})
}

func (groupLeader *groupLeader) handle(event terms.Event) {
	for _, effect := range groupLeader.terms.Handle(event, groupLeader.trial.clock.Now()) {
		groupLeader.applyEffect(effect)
	}
}

func (groupLeader *groupLeader) applyEffect(effect terms.Effect) {
	trial := groupLeader.trial
	switch effect := effect.(type) {
	case terms.Poll:
		groupLeader.pollServers()
	case terms.ReadTerm:
		groupLeader.callPlatform(func() terms.Event { return terms.TermRead{Record: groupLeader.record.read()} })
	case terms.WriteTerm:
		groupLeader.callPlatform(func() terms.Event { return groupLeader.record.write(effect) })
	case terms.Probe:
		groupLeader.probe(effect)
	case terms.Promote:
		trial.after(trial.deployment.DomainLatency+promotionTime, func() { groupLeader.promote(effect) })
	case terms.Follow:
		trial.after(trial.deployment.DomainLatency, func() { groupLeader.follow(effect) })
	case terms.RequestVotes:
		trial.after(2*trial.deployment.RegionLatency, func() { groupLeader.handle(terms.MajorityVoted(effect)) })
	case terms.Open:
		groupLeader.table.OpenTerm(effect.Primary, route.TermStart{Term: effect.Term, Start: effect.Start})
		groupLeader.retryAwaitingPrimary()
	case terms.Close, terms.Drain:
		groupLeader.table.CloseTerm()
	}
}

// callPlatform calls the platform and handles its answer after the latency; calls in an outage are not answered.
func (groupLeader *groupLeader) callPlatform(call func() terms.Event) {
	if groupLeader.trial.scenario.PlatformOutage.contains(groupLeader.trial.elapsed()) {
		return
	}
	groupLeader.trial.after(platformLatency, func() { groupLeader.handle(call()) })
}

func (platformRecord *platformRecord) read() *wire.TermRecord {
	if platformRecord.record == nil {
		return nil
	}
	return proto.Clone(platformRecord.record).(*wire.TermRecord)
}

func (platformRecord *platformRecord) write(effect terms.WriteTerm) terms.Event {
	if uint64(effect.Expected) != platformRecord.version {
		return terms.TermWritten{Nonce: effect.Record.Nonce, Result: terms.WriteConflict}
	}
	platformRecord.version++
	platformRecord.record = proto.Clone(effect.Record).(*wire.TermRecord)
	platformRecord.record.Version = platformRecord.version
	return terms.TermWritten{Nonce: effect.Record.Nonce, Version: spool.Version(platformRecord.version)}
}

func (groupLeader *groupLeader) index(server spool.Server) int {
	return groupLeader.table.Index(server)
}

func (groupLeader *groupLeader) probe(effect terms.Probe) {
	trial := groupLeader.trial
	server := groupLeader.index(spool.Server(effect.Request.Server))
	trial.after(2*trial.deployment.RegionLatency, func() {
		answer := &wire.ProbeAnswer{
			Group:    groupName,
			Server:   effect.Request.Server,
			Sequence: effect.Request.Sequence,
			Reached:  !trial.log.isDown(server),
		}
		groupLeader.handle(terms.ProbeAnswered{From: effect.To, Answer: answer})
	})
}

func (groupLeader *groupLeader) promote(effect terms.Promote) {
	trial := groupLeader.trial
	server := groupLeader.index(effect.Server)
	if trial.log.isDown(server) {
		groupLeader.handle(terms.PromoteFailed(effect))
		return
	}
	trial.log.promote(server, effect.Term)
	status := trial.log.status(server)
	trial.after(trial.deployment.DomainLatency, func() { groupLeader.handle(terms.Promoted{Term: effect.Term, Status: status}) })
}

func (groupLeader *groupLeader) follow(effect terms.Follow) {
	server := groupLeader.index(effect.Server)
	if groupLeader.trial.log.isDown(server) {
		groupLeader.handle(terms.FollowFailed{Server: effect.Server, Term: effect.Term})
		return
	}
	groupLeader.trial.log.serverTerms[server] = effect.Term
	groupLeader.handle(terms.Followed{Server: effect.Server, Term: effect.Term})
}
