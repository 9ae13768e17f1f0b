package core

import (
	"slices"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// location is the last known holder of a role.
type location struct {
	vm      spool.VM
	heardAt spool.Instant
}

func (core *Core) sendHeartbeats(now spool.Instant) {
	core.nextHeartbeat = now.Add(heartbeatInterval)
	heartbeat := &wire.Heartbeat{
		Domain: string(core.self.Domain), Address: core.self.Address,
		Leaving: core.view.Self().Leaving, Versions: core.currentVersions().list,
		Sequence: core.nextNonce(), Members: core.view.Digest(now),
	}
	if core.confirmed.known {
		heartbeat.Confirmed = true
		heartbeat.ConfirmedAgeNanos = int64(now.Sub(core.confirmed.at))
	}
	for _, role := range core.roles.sorted {
		if role.held {
			heartbeat.Held = append(heartbeat.Held, string(role.name))
		}
	}
	for _, to := range core.view.HeartbeatTargets(now) {
		core.send(to, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}})
	}
}

func (core *Core) handleHeartbeat(from spool.VM, incarnation uint64, heartbeat *wire.Heartbeat, now spool.Instant) {
	core.view.RecordHeartbeat(from, incarnation, heartbeat, now)
	for name, location := range core.locations {
		if location.vm == from && !slices.Contains(heartbeat.Held, string(name)) {
			core.forgetHolder(name)
			core.roleReleased(name, from, now)
		}
	}
	for _, name := range heartbeat.Held {
		core.recordHolder(lease.Role(name), from, now)
	}
	if heartbeat.Confirmed && !core.behind(heartbeat.Versions) {
		core.confirmed.advance(now - spool.Instant(heartbeat.ConfirmedAgeNanos) - spool.Instant(heartbeatDelay))
	}
	core.requestNewer(from, heartbeat.Versions, now)
	for _, version := range heartbeat.Versions {
		if version.Kind == spool.KindQuorum {
			core.emitQuorumActions(core.changer.ObserveWitness(from, spool.Version(version.Version), now))
		}
	}
}

// requestNewer requests the objects of which a peer has a newer version, at most once per requestInterval and peer.
func (core *Core) requestNewer(from spool.VM, versions []*wire.ObjectVersion, now spool.Instant) {
	if now < core.nextConfigRequest[from] || !core.behind(versions) || core.disabled == exchangeMechanism {
		return
	}
	core.nextConfigRequest[from] = now.Add(requestInterval)
	core.send(from, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{
		ConfigRequest: &wire.ConfigRequest{Versions: core.currentVersions().list},
	}})
}

func (core *Core) handleConfigRequest(from spool.VM, request *wire.ConfigRequest) {
	objects := core.store.Objects()
	if quorum, known := core.copies[spool.KindQuorum]; known {
		objects = append(objects, quorum)
	}
	answer := &wire.ConfigAnswer{Complete: core.configured}
	requester := newVersions(request.Versions)
	for _, object := range objects {
		copied := &wire.ObjectCopy{
			Kind: object.Kind, Name: object.Name, Version: uint64(object.Version), Body: object.Body,
		}
		version := &wire.ObjectVersion{Kind: object.Kind, Name: object.Name, Version: uint64(object.Version)}
		if requester.lacks(version) {
			answer.Objects = append(answer.Objects, copied)
		}
	}
	core.send(from, &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: answer}})
}

func (core *Core) handleConfigAnswer(answer *wire.ConfigAnswer, now spool.Instant) {
	objects := make([]spool.Object, 0, len(answer.Objects))
	for _, object := range answer.Objects {
		objects = append(objects, spool.Object{
			Kind: object.Kind, Name: object.Name, Version: spool.Version(object.Version), Body: object.Body,
		})
	}
	core.applyObjects(objects, now)
	core.configured = core.configured || answer.Complete
}

// recordHolder records the holder of a role and emits SetRoleHolder if it changed.
func (core *Core) recordHolder(name lease.Role, vm spool.VM, now spool.Instant) {
	known := core.locations[name]
	core.locations[name] = location{vm: vm, heardAt: now}
	if known.vm != vm {
		core.emit(SetRoleHolder{Role: name, VM: vm})
	}
}

// forgetHolder drops the known holder of a role and emits SetRoleHolder without a VM.
func (core *Core) forgetHolder(name lease.Role) {
	delete(core.locations, name)
	core.emit(SetRoleHolder{Role: name})
}

// roleReleased lets this proxy seek a role at once after its holder released it.
func (core *Core) roleReleased(name lease.Role, from spool.VM, now spool.Instant) {
	role := core.roles.get(name)
	if role != nil && role.holder.Rival(now) == from {
		role.holder.RivalReleased(now)
	}
}

func (core *Core) handleLocateAnswer(from spool.VM, answer *wire.LocateAnswer, now spool.Instant) {
	core.emitQuorumActions(core.changer.ObserveWitness(from, spool.Version(answer.Quorum), now))
	name := lease.Role(answer.Role)
	if _, known := core.locations[name]; !known && answer.Holder != "" {
		core.recordHolder(name, spool.VM(answer.Holder), now)
	}
}

// RoleHolder returns the last known holder of a role.
func (core *Core) RoleHolder(name lease.Role) (spool.VM, bool) {
	location, known := core.locations[name]
	return location.vm, known
}

// locateRole asks the witnesses who holds a role, at most once per requestInterval.
func (core *Core) locateRole(name lease.Role, now spool.Instant) {
	if now < core.nextLocate[name] {
		return
	}
	core.nextLocate[name] = now.Add(requestInterval)
	for _, witness := range core.quorum.Members {
		if witness != core.self.VM {
			core.send(witness, &wire.Envelope{Body: &wire.Envelope_LocateRequest{
				LocateRequest: &wire.LocateRequest{Role: string(name)},
			}})
		}
	}
}
