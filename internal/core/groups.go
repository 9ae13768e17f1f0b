package core

import (
	"encoding/json"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// group is the leader of a database group; it acts only while this proxy holds the group's role.
type group struct {
	name       spool.Group
	leader     *terms.Leader
	fence      terms.Fence
	sentWrites map[uint64]*wire.TermRecord
}

func (core *Core) group(name spool.Group) *group {
	known := core.groups.get(name)
	if known != nil {
		return known
	}
	created := &group{
		name:       name,
		leader:     terms.NewLeader(name, core.self.VM, core.self.Incarnation, core.termsOptions...),
		sentWrites: map[uint64]*wire.TermRecord{},
	}
	core.groups.add(name, created)
	return created
}

// updateGroupRole starts or stops leading a group after its role was gained or lost.
func (core *Core) updateGroupRole(name spool.Group, role *role, now spool.Instant) {
	if !role.held {
		role.awaitedRecord = nil
		core.groupEvent(name, terms.LeaseLost{}, now)
		core.emit(StopLeading{Group: name})
		core.emit(Note{Topic: TopicGroupLeaseLost, Group: name})
		return
	}
	spec, known := core.store.Snapshot().Group(name)
	if !known {
		return
	}
	core.recordHolder(role.name, core.self.VM, now)
	core.emit(StartLeading{Group: spec})
	core.emit(Note{Topic: TopicGroupLeaseAcquired, Group: name})
	core.groupEvent(name, terms.ServersChanged{Servers: spec.Servers}, now)
	core.groupEvent(name, core.quorumChanged(), now)
	record := lease.NewestRecord(role.holder.NewestRecord(), core.witness.TermRecord(name))
	core.groupEvent(name, terms.LeaseGained{Record: record}, now)
}

func (core *Core) quorumChanged() terms.QuorumChanged {
	domains := map[spool.VM]spool.Domain{}
	for _, member := range core.view.Members() {
		domains[member.VM] = member.Domain
	}
	return terms.QuorumChanged{Members: core.quorum.Members, Domains: domains}
}

func (core *Core) groupEvent(name spool.Group, event terms.Event, now spool.Instant) {
	if core.roles.get(lease.GroupRole(name)) == nil {
		return
	}
	group := core.group(name)
	for _, effect := range group.leader.Handle(event, now) {
		core.groupEffect(group, effect, now)
	}
}

func (core *Core) tickGroups(now spool.Instant) {
	for _, group := range core.groups.sorted {
		core.groupEvent(group.name, terms.Tick{}, now)
	}
}

func (core *Core) groupEffect(group *group, effect terms.Effect, now spool.Instant) {
	role := core.roles.get(lease.GroupRole(group.name))
	switch effect := effect.(type) {
	case terms.ReadTerm:
		core.emit(ReadObject{Kind: spool.KindTerm, Name: string(effect.Group)})
	case terms.WriteTerm:
		core.writeTerm(group, effect)
	case terms.Probe:
		core.send(effect.To, &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: effect.Request}})
	case terms.Promote:
		if spec, known := core.server(group.name, effect.Server); known {
			core.emit(PromoteServer{Group: group.name, Server: spec, Term: effect.Term})
		}
	case terms.Follow:
		core.followServer(group.name, effect)
	case terms.RequestVotes:
		role.awaitedRecord = effect.Record
		role.holder.SetRecord(effect.Record)
		core.requestVotes(role, now)
	case terms.Open:
		core.updateFence(group, now) // before requests start: an answer that comes before the fence counts as fenced
		core.emit(OpenGroup{Group: group.name, Open: effect})
		core.emit(Note{Topic: TopicTermOpened, Group: group.name, Term: effect.Term, Server: effect.Primary})
	case terms.Drain:
		core.emit(DrainGroup{Group: group.name})
	case terms.Close:
		core.emit(CloseGroup{Group: group.name, Reason: effect.Reason})
	case terms.Yield:
		role.holder.Yield(effect.Backoff, now)
	case terms.Note:
		core.emit(Note{
			Topic: TopicTermStep, Group: group.name, Term: effect.Term,
			Server: effect.Server, Text: string(effect.Reason),
		})
	}
}

func (core *Core) followServer(group spool.Group, effect terms.Follow) {
	server, known := core.server(group, effect.Server)
	if !known {
		return
	}
	primary, known := core.server(group, effect.Primary)
	if !known {
		return
	}
	core.emit(FollowServer{Group: group, Server: server, Term: effect.Term, Primary: primary})
}

func (core *Core) server(group spool.Group, name spool.Server) (spool.ServerSpec, bool) {
	spec, _ := core.store.Snapshot().Group(group)
	for _, server := range spec.Servers {
		if server.Name == name {
			return server, true
		}
	}
	return spool.ServerSpec{}, false
}

func (core *Core) handleProbeRequest(from spool.VM, request *wire.ProbeRequest) {
	spec, known := core.server(spool.Group(request.Group), spool.Server(request.Server))
	if known {
		core.emit(ProbeServer{To: from, Request: request, Server: spec})
	}
}

// termBody is the body of an object of kind Term.
type termBody struct {
	Group   spool.Group
	Term    spool.Term
	Primary spool.Server
	Start   spool.Position
	Opened  bool
	Holder  spool.VM
	Nonce   uint64
	History []termStart
}

// termStart is an earlier term in the body of an object of kind Term.
type termStart struct {
	Term  spool.Term
	Start spool.Position
}

func (core *Core) writeTerm(group *group, effect terms.WriteTerm) {
	record := effect.Record
	body := termBody{
		Group: group.name, Term: spool.Term(record.Term), Primary: spool.Server(record.Primary),
		Start: spool.Position(record.Start), Opened: record.Opened,
		Holder: spool.VM(record.Holder), Nonce: record.Nonce,
	}
	for _, start := range record.History {
		body.History = append(body.History, termStart{spool.Term(start.Term), spool.Position(start.Start)})
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	group.sentWrites[record.Nonce] = record
	core.emit(WriteObject{
		Object: spool.Object{Kind: spool.KindTerm, Name: string(group.name), Version: effect.Expected, Body: text},
		Nonce:  record.Nonce,
	})
}

// parseTerm returns the record of a Term object, or nil if there is none.
func parseTerm(object spool.Object) *wire.TermRecord {
	var body termBody
	if object.Version == 0 || json.Unmarshal(object.Body, &body) != nil {
		return nil
	}
	record := &wire.TermRecord{
		Group: object.Name, Term: uint64(body.Term), Primary: string(body.Primary),
		Start: uint64(body.Start), Opened: body.Opened,
		Holder: string(body.Holder), Nonce: body.Nonce, Version: uint64(object.Version),
	}
	for _, start := range body.History {
		record.History = append(record.History, &wire.TermStart{Term: uint64(start.Term), Start: uint64(start.Start)})
	}
	return record
}

// updateFences emits every fence that changed.
func (core *Core) updateFences(now spool.Instant) {
	for _, group := range core.groups.sorted {
		core.updateFence(group, now)
	}
}

func (core *Core) updateFence(group *group, now spool.Instant) {
	role := core.roles.get(lease.GroupRole(group.name))
	fence := terms.Fence{}
	if role.held && role.holder.Held(now) {
		fence = terms.Fence{Until: role.holder.Until(), Term: group.leader.OpenTerm()}
	}
	if fence != group.fence {
		group.fence = fence
		core.emit(SetFence{Group: group.name, Fence: fence})
	}
}
