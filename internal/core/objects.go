package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/pkg/spool"
)

const maxRetryDoublings = 10

// quorumRole is the role in locate requests that only ask for the witness's quorum version; there is no such lease.
const quorumRole = "Quorum"

// startupKinds are read from the platform at startup, terms after the quorum, because the witness requires this order.
var startupKinds = []string{spool.KindQuorum, spool.KindTerm, spool.KindManifest, spool.KindMember}

func (core *Core) readAll(now spool.Instant) {
	core.reading = true
	core.readAfter = now.Add(readRetry)
	core.emit(ReadObjects{Kinds: startupKinds})
}

// readFailed delays the next read with exponential backoff and a jitter that differs between proxies.
func (core *Core) readFailed(now spool.Instant) {
	core.reading = false
	delay := min(readRetry<<min(core.failures, maxRetryDoublings), maxReadRetry)
	core.failures++
	jitter := time.Duration(core.self.Incarnation % uint64(delay/2))
	core.readAfter = now.Add(delay/2 + jitter)
}

func (core *Core) objectsRead(event ObjectsRead, now spool.Instant) {
	core.reading = false
	core.failures = 0
	core.complete = true
	core.configured = true
	core.confirmed.advance(event.SentAt)
	quorum := lease.Quorum{}
	for _, object := range event.Objects {
		if object.Kind == spool.KindTerm {
			core.witness.MergeRecord(parseTerm(object))
		}
		if object.Kind == spool.KindQuorum {
			quorum = core.parseQuorum(object)
		}
	}
	core.witness.SetQuorum(quorum, true)
	core.applyMemberList(event.Objects, now)
	core.applyObjects(event.Objects, now)
	if quorum.Version == 0 {
		core.emitQuorumActions(core.changer.ObserveQuorum(quorum, now))
	}
	if core.watching {
		core.emit(WatchObjects{Watch: true, After: event.Version})
	}
}

func (core *Core) parseQuorum(object spool.Object) lease.Quorum {
	quorum, err := lease.ParseQuorum(object)
	if err != nil {
		core.emit(Note{Topic: TopicObjectRejected, Version: object.Version, Text: err.Error()})
	}
	return quorum
}

func (core *Core) applyMemberList(objects []spool.Object, now spool.Instant) {
	members := []spool.Member{}
	listed := map[spool.VM]bool{}
	for _, object := range objects {
		if member, isListed := parseMember(object); isListed {
			members = append(members, member)
			listed[member.VM] = true
		}
	}
	if len(members) == 0 {
		return
	}
	core.view.ApplyList(members)
	for _, witness := range core.quorum.Members {
		if !listed[witness] {
			core.markRemoved(witness, now)
		}
	}
}

// markRemoved records when a VM was first missing from the platform's list.
func (core *Core) markRemoved(vm spool.VM, now spool.Instant) {
	if _, known := core.removedSince[vm]; !known {
		core.removedSince[vm] = now
	}
}

// parseMember returns the VM in an object of the platform's list; the object of a removed VM contains none.
func parseMember(object spool.Object) (spool.Member, bool) {
	var member spool.Member
	if object.Kind != spool.KindMember || json.Unmarshal(object.Body, &member) != nil {
		return member, false
	}
	return member, string(member.VM) == object.Name
}

// applyObjects applies objects from the platform or a peer in the order of their versions.
func (core *Core) applyObjects(objects []spool.Object, now spool.Instant) {
	objects = slices.Clone(objects)
	slices.SortFunc(objects, func(a, b spool.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, object := range objects {
		core.applyObject(object, now)
	}
}

func (core *Core) applyObject(object spool.Object, now spool.Instant) {
	switch object.Kind {
	case spool.KindManifest:
		core.applyManifest(object, now)
	case spool.KindQuorum:
		core.applyQuorum(object, now)
	case spool.KindTerm:
		core.witness.MergeRecord(parseTerm(object))
	case spool.KindMember:
		core.applyMember(object, now)
	}
}

func (core *Core) applyMember(object spool.Object, now spool.Instant) {
	if member, listed := parseMember(object); listed {
		delete(core.removedSince, member.VM)
		core.addMember(member)
		return
	}
	core.markRemoved(spool.VM(object.Name), now)
}

func (core *Core) addMember(member spool.Member) {
	if _, known := core.view.Entry(member.VM); !known {
		core.view.ApplyList(append(core.view.Members(), member))
	}
}

func (core *Core) applyManifest(object spool.Object, now spool.Instant) {
	change, faults := core.store.Apply(object)
	if len(faults) > 0 {
		core.emit(Note{
			Topic: TopicObjectRejected, Partner: spool.Partner(object.Name),
			Version: object.Version, Text: faults.Error(),
		})
	}
	if !change.Accepted {
		return
	}
	core.cachedVersions = nil
	snapshot := core.store.Snapshot()
	core.emit(ApplyPolicy{Snapshot: snapshot, Change: change})
	core.emit(Note{Topic: TopicManifestAccepted, Partner: change.Partner, Version: change.Version})
	core.noteWithdrawn(change, change.Withdrawn, "withdrawn or removed")
	core.noteWithdrawn(change, change.Replaced, "verifier or team replaced")
	for _, name := range change.Teams {
		spec, known := snapshot.Team(name)
		if owner := core.owners[name]; owner != nil && known {
			owner.Resize(spec, now)
		}
	}
	for _, name := range change.Groups {
		spec, known := snapshot.Group(name)
		if known && core.groups.get(name) != nil {
			core.groupEvent(name, terms.ServersChanged{Servers: spec.Servers}, now)
		}
	}
	core.assignDue = true
	core.nextAssign = now
	core.nextHeartbeat = now
}

func (core *Core) noteWithdrawn(change policy.Change, keys []string, text string) {
	for _, key := range keys {
		core.emit(Note{
			Topic: TopicKeyWithdrawn, Partner: change.Partner, Version: change.Version, Key: key, Text: text,
		})
	}
}

func (core *Core) applyQuorum(object spool.Object, now spool.Instant) {
	if object.Version <= core.copies[spool.KindQuorum].Version {
		return
	}
	core.copies[spool.KindQuorum] = object
	core.quorum = core.parseQuorum(object)
	core.cachedVersions = nil
	core.witness.SetQuorum(core.quorum, false)
	for _, role := range core.roles.sorted {
		role.holder.SetQuorum(core.quorum, now)
	}
	for _, group := range core.groups.sorted {
		core.groupEvent(group.name, core.quorumChanged(), now)
	}
	core.emitQuorumActions(core.changer.ObserveQuorum(core.quorum, now))
	core.emit(Note{Topic: TopicQuorumChanged, Version: object.Version})
	core.nextHeartbeat = now
}

func (core *Core) objectRead(object spool.Object, now spool.Instant) {
	if object.Kind == spool.KindTerm {
		record := parseTerm(object)
		if record == nil && object.Version > 0 {
			core.emit(Note{
				Topic: TopicObjectRejected, Group: spool.Group(object.Name), Version: object.Version,
				Text: "the record of the group's term cannot be read",
			})
			core.objectFailed(object.Kind, object.Name, now)
			return
		}
		core.witness.MergeRecord(record)
		core.groupEvent(spool.Group(object.Name), terms.TermRead{Record: record}, now)
		return
	}
	if object.Kind != spool.KindQuorum {
		return
	}
	if object.Version == 0 {
		core.emitQuorumActions(core.changer.ObserveQuorum(lease.Quorum{}, now))
		return
	}
	core.applyObject(object, now)
	core.emitQuorumActions(core.changer.ObserveQuorum(core.quorum, now))
}

func (core *Core) objectFailed(kind, name string, now spool.Instant) {
	if kind == spool.KindTerm {
		core.groupEvent(spool.Group(name), terms.TermReadFailed{}, now)
		return
	}
	core.emitQuorumActions(core.changer.ActionFailed(now))
}

func (core *Core) objectWritten(event ObjectWritten, now spool.Instant) {
	if event.Object.Kind == spool.KindTerm {
		core.termWritten(event, now)
		return
	}
	if event.Result != WriteDone {
		core.emitQuorumActions(core.changer.ActionFailed(now))
		return
	}
	core.applyObject(event.Object, now)
	core.emitQuorumActions(core.changer.QuorumWritten(core.parseQuorum(event.Object), now))
}

func (core *Core) termWritten(event ObjectWritten, now spool.Instant) {
	name := spool.Group(event.Object.Name)
	written := terms.TermWritten{Nonce: event.Nonce, Version: event.Object.Version}
	switch event.Result {
	case WriteDone:
		written.Result = terms.WriteDone
		core.witness.MergeRecord(parseTerm(event.Object))
	case WriteConflict:
		written.Result = terms.WriteConflict
	case WriteUnknown:
		written.Result = terms.WriteUnknown
	}
	core.groupEvent(name, written, now)
}

// updateWatch starts or stops the watch of the platform; one proxy per failure domain watches.
func (core *Core) updateWatch(now spool.Instant) {
	reader := core.view.IsReader(now) && core.complete && core.startupPassed(now)
	if reader == core.watching {
		return
	}
	core.watching = reader
	if !reader {
		core.emit(WatchObjects{})
		return
	}
	core.readAll(now)
}

// maintainQuorum replaces failed and removed witnesses. Only the proxies that watch the platform do so, because only
// they learn which VMs it removed; the conditional update lets one of them succeed.
func (core *Core) maintainQuorum(now spool.Instant) {
	if !core.watching || !core.startupPassed(now) {
		return
	}
	if now >= core.nextQuorumCheck {
		core.nextQuorumCheck = now.Add(quorumInterval)
		core.changer.SetMembers(core.view.Serving(now), now)
		core.changer.SetRemoved(core.removedVMs(now))
	}
	core.emitQuorumActions(core.changer.Tick(now))
	if core.quorum.Changing {
		core.locateRole(quorumRole, now)
	}
}

// removedVMs returns the VMs that have been off the platform's list for removedAfter and are not alive.
func (core *Core) removedVMs(now spool.Instant) []spool.VM {
	removed := []spool.VM{}
	for vm, since := range core.removedSince {
		if now.Sub(since) >= removedAfter && !core.view.Alive(vm, now) {
			removed = append(removed, vm)
		}
	}
	slices.Sort(removed)
	return removed
}

func (core *Core) emitQuorumActions(actions []lease.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case lease.ReadQuorum:
			core.emit(ReadObject{Kind: spool.KindQuorum, Name: lease.QuorumName})
		case lease.WriteQuorum:
			core.emit(WriteObject{Object: action.Quorum.Object(action.Expected), Nonce: core.nextNonce()})
		}
	}
}
