package lease

import (
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// ReadRoster asks for the platform's roster.
type ReadRoster struct{}

// WriteRoster asks to record a roster by conditional update.
type WriteRoster struct {
	Expected spool.Version // zero if the roster must not exist
	Roster   Roster
}

// Action is what a Changer asks for: ReadRoster or WriteRoster.
type Action interface{ action() }

func (ReadRoster) action()  {}
func (WriteRoster) action() {}

// Changer creates the roster and replaces members that are gone; any number of proxies may run one.
type Changer struct {
	config    Config
	roster    Roster
	read      bool // the platform was read at least once
	readAt    spool.Instant
	asked     bool // a ReadRoster was asked for
	calling   bool // an action waits for its result
	firstAt   spool.Instant
	alive     map[spool.VM]spool.Member
	aliveAt   map[spool.VM]spool.Instant // last instant at which a VM was alive, or was first missed
	domain    map[spool.VM]spool.Domain
	removed   map[spool.VM]bool
	seen      map[spool.VM]spool.Version
	sealed    bool // a majority has seen the changing roster
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

// Observe tells of the roster that the platform was read to hold; a zero Version says that none exists.
func (changer *Changer) Observe(roster Roster, now spool.Instant) []Action {
	changer.read = true
	changer.readAt = now
	changer.calling = false
	changer.adopt(roster)
	return changer.Tick(now)
}

// Written tells the result of WriteRoster: the roster with its new version.
func (changer *Changer) Written(roster Roster, now spool.Instant) []Action {
	return changer.Observe(roster, now)
}

// Failed tells that WriteRoster met another version or that its outcome, or that of ReadRoster, is unknown.
func (changer *Changer) Failed(now spool.Instant) []Action {
	changer.calling = false
	changer.read = false
	return changer.Tick(now)
}

// Seen tells which roster version the witness at a VM obeys, from its heartbeats or pledge answers.
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
	return []Action{WriteRoster{Expected: changer.roster.Version, Roster: next}}
}

func (changer *Changer) reread(now spool.Instant) []Action {
	if changer.asked && now.Sub(changer.readAt) < changer.config.Reread {
		return nil
	}
	changer.asked = true
	changer.readAt = now
	changer.calling = true
	return []Action{ReadRoster{}}
}

func (changer *Changer) adopt(roster Roster) {
	if roster.Version <= changer.roster.Version {
		return
	}
	changer.roster = roster
	changer.sealed = false
}

// next returns the roster to record now, if any.
func (changer *Changer) next(now spool.Instant) (Roster, bool) {
	if changer.roster.Version == 0 {
		return changer.first(now)
	}
	if changer.roster.Changing {
		return changer.complete(now)
	}
	wanted := changer.wanted(now)
	if slices.Equal(wanted, changer.roster.Members) {
		return Roster{}, false
	}
	return Roster{
		Base:     changer.roster.Version,
		Members:  changer.roster.Members,
		Next:     wanted,
		Changing: true,
	}, true
}

// first creates the roster once three failure domains are known or the wait for them is over.
func (changer *Changer) first(now spool.Instant) (Roster, bool) {
	if changer.unsettled {
		return Roster{}, false
	}
	members := changer.wanted(now)
	if len(members) == 0 {
		return Roster{}, false
	}
	if changer.domains() < smallRoster && now.Sub(changer.firstAt) < changer.config.Settle {
		return Roster{}, false
	}
	return Roster{Members: members}, true
}

// complete ends the change once no pledge under the old members can still be counted.
func (changer *Changer) complete(now spool.Instant) (Roster, bool) {
	if !changer.sealed {
		changer.sealed = changer.confirmations() >= changer.roster.Majority()
		changer.sealedAt = now
	}
	if changer.config.unsealed {
		return Roster{Base: changer.roster.Base, Members: changer.roster.Next}, true
	}
	if !changer.sealed || now.Sub(changer.sealedAt) < changer.config.waited() {
		return Roster{}, false
	}
	return Roster{Base: changer.roster.Base, Members: changer.roster.Next}, true
}

func (changer *Changer) confirmations() int {
	count := 0
	for _, vm := range changer.roster.Members {
		if changer.removed[vm] || changer.seen[vm] >= changer.roster.Version {
			count++
		}
	}
	return count
}
