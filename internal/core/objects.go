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

const maxDoublings = 10

// quorumRole stands in requests that ask a witness for its quorum's version; it is no lease.
const quorumRole = "Quorum"

// bootKinds are read from the platform at the start; terms follow the quorum, as the witness requires.
var bootKinds = []string{spool.KindQuorum, spool.KindTerm, spool.KindManifest, spool.KindMember}

func (core *Core) readAll(now spool.Instant) {
	core.reading = true
	core.readAfter = now.Add(readRetry)
	core.emit(ReadObjects{Kinds: bootKinds})
}

// readFailed puts the next read off, twice as long after each failure and by another part for each proxy.
func (core *Core) readFailed(now spool.Instant) {
	core.reading = false
	longest := min(readRetry<<min(core.failures, maxDoublings), longestRetry)
	core.failures++
	spread := time.Duration(core.self.Incarnation % uint64(longest/2))
	core.readAfter = now.Add(longest/2 + spread)
}

func (core *Core) objectsRead(event ObjectsRead, now spool.Instant) {
	core.reading = false
	core.failures = 0
	core.complete = true
	core.configured = true
	core.confirmed.raise(event.SentAt)
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
	core.learnMembers(event.Objects, now)
	core.learnAll(event.Objects, now)
	if quorum.Version == 0 {
		core.changerActions(core.changer.ObserveQuorum(quorum, now))
	}
	if core.watching {
		core.emit(WatchObjects{Watch: true, After: event.Version})
	}
}

func (core *Core) parseQuorum(object spool.Object) lease.Quorum {
	quorum, err := lease.ParseQuorum(object)
	if err != nil {
		core.emit(Note{Topic: TopicRejected, Version: object.Version, Text: err.Error()})
	}
	return quorum
}

func (core *Core) learnMembers(objects []spool.Object, now spool.Instant) {
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
			core.remove(witness, now)
		}
	}
}

// remove notes since when a VM is missing from the platform's list.
func (core *Core) remove(vm spool.VM, now spool.Instant) {
	if _, known := core.removed[vm]; !known {
		core.removed[vm] = now
	}
}

// parseMember returns the VM that an object of the platform's list shows; the object of a removed VM shows none.
func parseMember(object spool.Object) (spool.Member, bool) {
	var member spool.Member
	if object.Kind != spool.KindMember || json.Unmarshal(object.Body, &member) != nil {
		return member, false
	}
	return member, string(member.VM) == object.Name
}

// learnAll takes in objects in the order of their versions, whatever path they came on.
func (core *Core) learnAll(objects []spool.Object, now spool.Instant) {
	objects = slices.Clone(objects)
	slices.SortFunc(objects, func(a, b spool.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, object := range objects {
		core.learn(object, now)
	}
}

func (core *Core) learn(object spool.Object, now spool.Instant) {
	switch object.Kind {
	case spool.KindManifest:
		core.learnManifest(object, now)
	case spool.KindQuorum:
		core.learnQuorum(object, now)
	case spool.KindTerm:
		core.witness.MergeRecord(parseTerm(object))
	case spool.KindMember:
		core.learnMember(object, now)
	}
}

func (core *Core) learnMember(object spool.Object, now spool.Instant) {
	if member, listed := parseMember(object); listed {
		delete(core.removed, member.VM)
		core.found(member)
		return
	}
	core.remove(spool.VM(object.Name), now)
}

func (core *Core) found(member spool.Member) {
	if _, known := core.view.Entry(member.VM); !known {
		core.view.ApplyList(append(core.view.Members(), member))
	}
}

func (core *Core) learnManifest(object spool.Object, now spool.Instant) {
	change, faults := core.store.Apply(object)
	if len(faults) > 0 {
		core.emit(Note{
			Topic: TopicRejected, Partner: spool.Partner(object.Name),
			Version: object.Version, Text: faults.Error(),
		})
	}
	if !change.Accepted {
		return
	}
	core.ownVersions = nil
	snapshot := core.store.Snapshot()
	core.emit(ApplyPolicy{Snapshot: snapshot, Change: change})
	core.emit(Note{Topic: TopicAccepted, Partner: change.Partner, Version: change.Version})
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
	core.reassign = true
	core.nextAssign = now
	core.nextHeartbeat = now
}

func (core *Core) noteWithdrawn(change policy.Change, keys []string, text string) {
	for _, key := range keys {
		core.emit(Note{
			Topic: TopicWithdrawn, Partner: change.Partner, Version: change.Version, Key: key, Text: text,
		})
	}
}

func (core *Core) learnQuorum(object spool.Object, now spool.Instant) {
	if object.Version <= core.copies[spool.KindQuorum].Version {
		return
	}
	core.copies[spool.KindQuorum] = object
	core.quorum = core.parseQuorum(object)
	core.ownVersions = nil
	core.witness.SetQuorum(core.quorum, false)
	for _, role := range core.roles.sorted {
		role.holder.SetQuorum(core.quorum, now)
	}
	for _, group := range core.groups.sorted {
		core.groupEvent(group.name, core.witnesses(), now)
	}
	core.changerActions(core.changer.ObserveQuorum(core.quorum, now))
	core.emit(Note{Topic: TopicQuorum, Version: object.Version})
	core.nextHeartbeat = now
}

func (core *Core) objectRead(object spool.Object, now spool.Instant) {
	if object.Kind == spool.KindTerm {
		record := parseTerm(object)
		if record == nil && object.Version > 0 {
			core.emit(Note{
				Topic: TopicRejected, Group: spool.Group(object.Name), Version: object.Version,
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
		core.changerActions(core.changer.ObserveQuorum(lease.Quorum{}, now))
		return
	}
	core.learn(object, now)
	core.changerActions(core.changer.ObserveQuorum(core.quorum, now))
}

func (core *Core) objectFailed(kind, name string, now spool.Instant) {
	if kind == spool.KindTerm {
		core.groupEvent(spool.Group(name), terms.TermReadFailed{}, now)
		return
	}
	core.changerActions(core.changer.ActionFailed(now))
}

func (core *Core) objectWritten(event ObjectWritten, now spool.Instant) {
	if event.Object.Kind == spool.KindTerm {
		core.termWritten(event, now)
		return
	}
	if event.Result != Written {
		core.changerActions(core.changer.ActionFailed(now))
		return
	}
	core.learn(event.Object, now)
	core.changerActions(core.changer.QuorumWritten(core.parseQuorum(event.Object), now))
}

func (core *Core) termWritten(event ObjectWritten, now spool.Instant) {
	name := spool.Group(event.Object.Name)
	written := terms.TermWritten{Nonce: event.Nonce, Version: event.Object.Version}
	switch event.Result {
	case Written:
		written.Result = terms.WriteDone
		core.witness.MergeRecord(parseTerm(event.Object))
	case Conflict:
		written.Result = terms.WriteConflict
	case Uncertain:
		written.Result = terms.WriteUnknown
	}
	core.groupEvent(name, written, now)
}

// watch has one proxy of each failure domain watch the platform.
func (core *Core) watch(now spool.Instant) {
	reader := core.view.IsReader(now) && core.complete && core.settled(now)
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

// tendQuorum has the proxies that watch the platform replace witnesses that are gone; only they learn which VMs the
// platform removed, and the conditional update lets one of them succeed.
func (core *Core) tendQuorum(now spool.Instant) {
	if !core.watching || !core.settled(now) {
		return
	}
	if now >= core.nextTend {
		core.nextTend = now.Add(tendInterval)
		core.changer.SetMembers(core.view.Serving(now), now)
		core.changer.SetRemoved(core.destroyed(now))
	}
	core.changerActions(core.changer.Tick(now))
	if core.quorum.Changing {
		core.seek(quorumRole, now)
	}
}

// destroyed returns the VMs that the platform removed from its list a while ago and that nobody has heard since.
func (core *Core) destroyed(now spool.Instant) []spool.VM {
	gone := []spool.VM{}
	for vm, since := range core.removed {
		if now.Sub(since) >= removedAfter && !core.view.Alive(vm, now) {
			gone = append(gone, vm)
		}
	}
	slices.Sort(gone)
	return gone
}

func (core *Core) changerActions(actions []lease.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case lease.ReadQuorum:
			core.emit(ReadObject{Kind: spool.KindQuorum, Name: lease.QuorumName})
		case lease.WriteQuorum:
			core.emit(WriteObject{Object: action.Quorum.Object(action.Expected), Nonce: core.nonce()})
		}
	}
}
