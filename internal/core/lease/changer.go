package lease

import (
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// ReadQuorum asks for the platform's quorum.
type ReadQuorum struct{}

// WriteQuorum asks to record a quorum by conditional update.
type WriteQuorum struct {
	Expected spool.Version // zero if the quorum must not exist
	Quorum   Quorum
}

// Action is what a Changer asks for: ReadQuorum or WriteQuorum.
type Action interface{ action() }

func (ReadQuorum) action()  {}
func (WriteQuorum) action() {}

// Changer creates the quorum and replaces members that are gone; any number of proxies may run one.
type Changer struct {
	config    Config
	quorum    Quorum
	read      bool // the platform was read at least once
	readAt    spool.Instant
	asked     bool // a ReadQuorum was asked for
	calling   bool // an action waits for its result
	firstAt   spool.Instant
	alive     map[spool.VM]spool.Member
	aliveAt   map[spool.VM]spool.Instant // last instant at which a VM was alive, or was first missed
	domain    map[spool.VM]spool.Domain
	removed   map[spool.VM]bool
	seen      map[spool.VM]spool.Version
	sealed    bool // a majority has seen the changing quorum
	sealedAt  spool.Instant
	unsettled bool
}

// NewChanger returns a changer that knows nothing yet.
func NewChanger(options ...Option) *Changer {
	return &Changer{
		config:    newConfig(options),
		alive:     map[spool.VM]spool.Member{},
		aliveAt:   map[spool.VM]spool.Instant{},
		domain:    map[spool.VM]spool.Domain{},
		removed:   map[spool.VM]bool{},
		seen:      map[spool.VM]spool.Version{},
		unsettled: true,
	}
}

// SetMembers tells which VMs are alive; members that leave count as gone at once.
func (changer *Changer) SetMembers(members []spool.Member, now spool.Instant) {
	if changer.unsettled && len(members) > 0 {
		changer.unsettled = false
		changer.firstAt = now
	}
	changer.alive = map[spool.VM]spool.Member{}
	for _, member := range members {
		changer.alive[member.VM] = member
		changer.aliveAt[member.VM] = now
		changer.domain[member.VM] = member.Domain
	}
}

// SetRemoved tells which VMs no longer exist and can't start again; each counts as a member that has seen the change.
func (changer *Changer) SetRemoved(vms []spool.VM) {
	changer.removed = map[spool.VM]bool{}
	for _, vm := range vms {
		changer.removed[vm] = true
	}
}

// Observe tells of the quorum that the platform was read to hold; a zero Version says that none exists.
func (changer *Changer) Observe(quorum Quorum, now spool.Instant) []Action {
	changer.read = true
	changer.readAt = now
	changer.calling = false
	changer.adopt(quorum)
	return changer.Tick(now)
}

// Written tells the result of WriteQuorum: the quorum with its new version.
func (changer *Changer) Written(quorum Quorum, now spool.Instant) []Action {
	return changer.Observe(quorum, now)
}

// Failed tells that WriteQuorum met another version or that its outcome, or that of ReadQuorum, is unknown.
func (changer *Changer) Failed(now spool.Instant) []Action {
	changer.calling = false
	changer.read = false
	return changer.Tick(now)
}

// Seen tells which quorum version the witness at a VM obeys, from its heartbeats or vote answers.
func (changer *Changer) Seen(vm spool.VM, version spool.Version, now spool.Instant) []Action {
	changer.seen[vm] = max(changer.seen[vm], version)
	return changer.Tick(now)
}

// Tick lets waits end; the caller ticks at least every 100 ms.
func (changer *Changer) Tick(now spool.Instant) []Action {
	if changer.calling {
		return nil
	}
	if !changer.read {
		return changer.reread(now)
	}
	next, ok := changer.next(now)
	if !ok {
		return nil
	}
	changer.calling = true
	return []Action{WriteQuorum{Expected: changer.quorum.Version, Quorum: next}}
}

func (changer *Changer) reread(now spool.Instant) []Action {
	if changer.asked && now.Sub(changer.readAt) < changer.config.Reread {
		return nil
	}
	changer.asked = true
	changer.readAt = now
	changer.calling = true
	return []Action{ReadQuorum{}}
}

func (changer *Changer) adopt(quorum Quorum) {
	if quorum.Version <= changer.quorum.Version {
		return
	}
	changer.quorum = quorum
	changer.sealed = false
}

// next returns the quorum to record now, if any.
func (changer *Changer) next(now spool.Instant) (Quorum, bool) {
	if changer.quorum.Version == 0 {
		return changer.first(now)
	}
	if changer.quorum.Changing {
		return changer.complete(now)
	}
	wanted := changer.wanted(now)
	if slices.Equal(wanted, changer.quorum.Members) {
		return Quorum{}, false
	}
	return Quorum{
		Base:     changer.quorum.Version,
		Members:  changer.quorum.Members,
		Next:     wanted,
		Changing: true,
	}, true
}

// first creates the quorum once three failure domains are known or the wait for them is over.
func (changer *Changer) first(now spool.Instant) (Quorum, bool) {
	if changer.unsettled {
		return Quorum{}, false
	}
	members := changer.wanted(now)
	if len(members) == 0 {
		return Quorum{}, false
	}
	if changer.domains() < smallQuorum && now.Sub(changer.firstAt) < changer.config.Settle {
		return Quorum{}, false
	}
	return Quorum{Members: members}, true
}

// complete ends the change once no vote under the old members can still be counted.
func (changer *Changer) complete(now spool.Instant) (Quorum, bool) {
	if !changer.sealed {
		changer.sealed = changer.confirmations() >= changer.quorum.Majority()
		changer.sealedAt = now
	}
	if changer.config.unsealed {
		return Quorum{Base: changer.quorum.Base, Members: changer.quorum.Next}, true
	}
	if !changer.sealed || now.Sub(changer.sealedAt) < changer.config.waited() {
		return Quorum{}, false
	}
	return Quorum{Base: changer.quorum.Base, Members: changer.quorum.Next}, true
}

func (changer *Changer) confirmations() int {
	count := 0
	for _, vm := range changer.quorum.Members {
		if changer.removed[vm] || changer.seen[vm] >= changer.quorum.Version {
			count++
		}
	}
	return count
}
