package core

import (
	"slices"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// location is where a role was last known to be held.
type location struct {
	vm    spool.VM
	heard spool.Instant
}

func (core *Core) heartbeat(now spool.Instant) {
	core.nextHeartbeat = now.Add(heartbeatInterval)
	heartbeat := &wire.Heartbeat{
		Domain: string(core.self.Domain), Address: core.self.Address,
		Leaving: core.view.Self().Leaving, Versions: core.own().list,
		Sequence: core.nonce(), Members: core.view.Digest(now),
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

func (core *Core) heard(from spool.VM, incarnation uint64, heartbeat *wire.Heartbeat, now spool.Instant) {
	core.view.RecordHeartbeat(from, incarnation, heartbeat, now)
	for name, location := range core.located {
		if location.vm == from && !slices.Contains(heartbeat.Held, string(name)) {
			core.forget(name)
			core.freed(name, from, now)
		}
	}
	for _, name := range heartbeat.Held {
		core.locate(lease.Role(name), from, now)
	}
	if heartbeat.Confirmed && !core.behind(heartbeat.Versions) {
		core.confirmed.raise(now - spool.Instant(heartbeat.ConfirmedAgeNanos) - spool.Instant(heartbeatDelay))
	}
	core.compare(from, heartbeat.Versions, now)
	for _, version := range heartbeat.Versions {
		if version.Kind == spool.KindQuorum {
			core.changerActions(core.changer.ObserveWitness(from, spool.Version(version.Version), now))
		}
	}
}

// compare asks a peer for the objects of which it has a newer version.
func (core *Core) compare(from spool.VM, versions []*wire.ObjectVersion, now spool.Instant) {
	if now < core.asked[from] || !core.behind(versions) || core.without == exchangeMechanism {
		return
	}
	core.asked[from] = now.Add(askInterval)
	core.send(from, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{
		ConfigRequest: &wire.ConfigRequest{Versions: core.own().list},
	}})
}

func (core *Core) configAsked(from spool.VM, request *wire.ConfigRequest) {
	objects := core.store.Objects()
	if quorum, known := core.copies[spool.KindQuorum]; known {
		objects = append(objects, quorum)
	}
	answer := &wire.ConfigAnswer{Complete: core.configured}
	asker := newVersions(request.Versions)
	for _, object := range objects {
		copied := &wire.ObjectCopy{
			Kind: object.Kind, Name: object.Name, Version: uint64(object.Version), Body: object.Body,
		}
		version := &wire.ObjectVersion{Kind: object.Kind, Name: object.Name, Version: uint64(object.Version)}
		if asker.lack(version) {
			answer.Objects = append(answer.Objects, copied)
		}
	}
	core.send(from, &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: answer}})
}

func (core *Core) configAnswered(answer *wire.ConfigAnswer, now spool.Instant) {
	objects := make([]spool.Object, 0, len(answer.Objects))
	for _, object := range answer.Objects {
		objects = append(objects, spool.Object{
			Kind: object.Kind, Name: object.Name, Version: spool.Version(object.Version), Body: object.Body,
		})
	}
	core.learnAll(objects, now)
	core.configured = core.configured || answer.Complete
}

// locate records who holds a role.
func (core *Core) locate(name lease.Role, vm spool.VM, now spool.Instant) {
	known := core.located[name]
	core.located[name] = location{vm: vm, heard: now}
	if known.vm != vm {
		core.emit(MoveRole{Role: name, VM: vm})
	}
}

// forget drops what is known of a role's holder.
func (core *Core) forget(name lease.Role) {
	delete(core.located, name)
	core.emit(MoveRole{Role: name})
}

// freed has this proxy seek a role at once that its holder gave up.
func (core *Core) freed(name lease.Role, from spool.VM, now spool.Instant) {
	role := core.roles.get(name)
	if role != nil && role.holder.Rival(now) == from {
		role.holder.RivalReleased(now)
	}
}

func (core *Core) locateAnswered(from spool.VM, answer *wire.LocateAnswer, now spool.Instant) {
	core.changerActions(core.changer.ObserveWitness(from, spool.Version(answer.Quorum), now))
	name := lease.Role(answer.Role)
	if _, known := core.located[name]; !known && answer.Holder != "" {
		core.locate(name, spool.VM(answer.Holder), now)
	}
}

// Locate returns the VM that was last known to hold a role.
func (core *Core) Locate(name lease.Role) (spool.VM, bool) {
	location, known := core.located[name]
	return location.vm, known
}

// seek asks the witnesses who holds a role, at most once an interval.
func (core *Core) seek(name lease.Role, now spool.Instant) {
	if now < core.sought[name] {
		return
	}
	core.sought[name] = now.Add(askInterval)
	for _, witness := range core.quorum.Members {
		if witness != core.self.VM {
			core.send(witness, &wire.Envelope{Body: &wire.Envelope_LocateRequest{
				LocateRequest: &wire.LocateRequest{Role: string(name)},
			}})
		}
	}
}
