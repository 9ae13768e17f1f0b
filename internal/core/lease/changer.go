package lease

import (
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// ReadQuorum requests a read of the quorum from the platform.
type ReadQuorum struct{}

// WriteQuorum requests a conditional update of the quorum on the platform.
type WriteQuorum struct {
	Expected spool.Version // stored version to replace; zero if the quorum must not exist
	Quorum   Quorum
}

// Action is an operation on the platform that a QuorumChanger requests: ReadQuorum or WriteQuorum.
type Action interface{ action() }

func (ReadQuorum) action()  {}
func (WriteQuorum) action() {}

// QuorumChanger creates the quorum and replaces absent members; any number of proxies may run one.
type QuorumChanger struct {
	config          Config
	quorum          Quorum
	platformRead    bool // the quorum was read since the start and since the last failed action
	readAt          spool.Instant
	readRequested   bool          // a ReadQuorum was requested since the start
	actionPending   bool          // an action has no result yet
	membersSince    spool.Instant // when live VMs were first reported
	alive           map[spool.VM]spool.Member
	aliveAt         map[spool.VM]spool.Instant // when a VM was last alive, or was first found absent
	lastDomain      map[spool.VM]spool.Domain
	removed         map[spool.VM]bool
	witnessVersions map[spool.VM]spool.Version
	confirmed       bool // a majority follows the changing quorum
	confirmedAt     spool.Instant
	awaitingMembers bool
}

// NewQuorumChanger returns a quorum changer without members or quorum.
func NewQuorumChanger(options ...Option) *QuorumChanger {
	return &QuorumChanger{
		config:          newConfig(options),
		alive:           map[spool.VM]spool.Member{},
		aliveAt:         map[spool.VM]spool.Instant{},
		lastDomain:      map[spool.VM]spool.Domain{},
		removed:         map[spool.VM]bool{},
		witnessVersions: map[spool.VM]spool.Version{},
		awaitingMembers: true,
	}
}

// SetMembers sets the live VMs; leaving ones count as absent at once.
func (quorumChanger *QuorumChanger) SetMembers(members []spool.Member, now spool.Instant) {
	if quorumChanger.awaitingMembers && len(members) > 0 {
		quorumChanger.awaitingMembers = false
		quorumChanger.membersSince = now
	}
	quorumChanger.alive = map[spool.VM]spool.Member{}
	for _, member := range members {
		quorumChanger.alive[member.VM] = member
		quorumChanger.aliveAt[member.VM] = now
		quorumChanger.lastDomain[member.VM] = member.Domain
	}
}

// SetRemoved sets the VMs that no longer exist and can't start again; each counts as having confirmed a change.
func (quorumChanger *QuorumChanger) SetRemoved(vms []spool.VM) {
	quorumChanger.removed = map[spool.VM]bool{}
	for _, vm := range vms {
		quorumChanger.removed[vm] = true
	}
}

// ObserveQuorum handles a quorum read from the platform; a zero Version means that none exists.
func (quorumChanger *QuorumChanger) ObserveQuorum(quorum Quorum, now spool.Instant) []Action {
	quorumChanger.platformRead = true
	quorumChanger.readAt = now
	quorumChanger.actionPending = false
	quorumChanger.setQuorum(quorum)
	return quorumChanger.Tick(now)
}

// QuorumWritten handles the result of a successful WriteQuorum: the quorum with its new version.
func (quorumChanger *QuorumChanger) QuorumWritten(quorum Quorum, now spool.Instant) []Action {
	return quorumChanger.ObserveQuorum(quorum, now)
}

// ActionFailed handles a version conflict of WriteQuorum or an unknown outcome of either action.
func (quorumChanger *QuorumChanger) ActionFailed(now spool.Instant) []Action {
	quorumChanger.actionPending = false
	quorumChanger.platformRead = false
	return quorumChanger.Tick(now)
}

// ObserveWitness records the quorum version that the witness at a VM follows, from its heartbeats or vote answers.
func (quorumChanger *QuorumChanger) ObserveWitness(vm spool.VM, version spool.Version, now spool.Instant) []Action {
	quorumChanger.witnessVersions[vm] = max(quorumChanger.witnessVersions[vm], version)
	return quorumChanger.Tick(now)
}

// Tick handles elapsed timeouts; it must be called at least every 100 ms.
func (quorumChanger *QuorumChanger) Tick(now spool.Instant) []Action {
	if quorumChanger.actionPending {
		return nil
	}
	if !quorumChanger.platformRead {
		return quorumChanger.readPlatform(now)
	}
	next, ok := quorumChanger.nextQuorum(now)
	if !ok {
		return nil
	}
	quorumChanger.actionPending = true
	return []Action{WriteQuorum{Expected: quorumChanger.quorum.Version, Quorum: next}}
}

func (quorumChanger *QuorumChanger) readPlatform(now spool.Instant) []Action {
	if quorumChanger.readRequested && now.Sub(quorumChanger.readAt) < quorumChanger.config.ReadInterval {
		return nil
	}
	quorumChanger.readRequested = true
	quorumChanger.readAt = now
	quorumChanger.actionPending = true
	return []Action{ReadQuorum{}}
}

func (quorumChanger *QuorumChanger) setQuorum(quorum Quorum) {
	if quorum.Version <= quorumChanger.quorum.Version {
		return
	}
	quorumChanger.quorum = quorum
	quorumChanger.confirmed = false
}

// nextQuorum returns the quorum to write now, if any.
func (quorumChanger *QuorumChanger) nextQuorum(now spool.Instant) (Quorum, bool) {
	if quorumChanger.quorum.Version == 0 {
		return quorumChanger.initialQuorum(now)
	}
	if quorumChanger.quorum.Changing {
		return quorumChanger.completedQuorum(now)
	}
	wanted := quorumChanger.wantedMembers(now)
	if slices.Equal(wanted, quorumChanger.quorum.Members) {
		return Quorum{}, false
	}
	return Quorum{
		Base:     quorumChanger.quorum.Version,
		Members:  quorumChanger.quorum.Members,
		Next:     wanted,
		Changing: true,
	}, true
}

// initialQuorum returns the first quorum once three failure domains are live or CreateTimeout has passed.
func (quorumChanger *QuorumChanger) initialQuorum(now spool.Instant) (Quorum, bool) {
	if quorumChanger.awaitingMembers {
		return Quorum{}, false
	}
	members := quorumChanger.wantedMembers(now)
	if len(members) == 0 {
		return Quorum{}, false
	}
	if quorumChanger.liveDomains() < smallQuorum && now.Sub(quorumChanger.membersSince) < quorumChanger.config.CreateTimeout {
		return Quorum{}, false
	}
	return Quorum{Members: members}, true
}

// completedQuorum returns the quorum that ends the change once no vote by the old members can still count.
func (quorumChanger *QuorumChanger) completedQuorum(now spool.Instant) (Quorum, bool) {
	if !quorumChanger.confirmed {
		quorumChanger.confirmed = quorumChanger.confirmations() >= quorumChanger.quorum.Majority()
		quorumChanger.confirmedAt = now
	}
	if quorumChanger.config.completeAtOnce {
		return Quorum{Base: quorumChanger.quorum.Base, Members: quorumChanger.quorum.Next}, true
	}
	if !quorumChanger.confirmed || now.Sub(quorumChanger.confirmedAt) < quorumChanger.config.maxVoteLifetime() {
		return Quorum{}, false
	}
	return Quorum{Base: quorumChanger.quorum.Base, Members: quorumChanger.quorum.Next}, true
}

func (quorumChanger *QuorumChanger) confirmations() int {
	count := 0
	for _, vm := range quorumChanger.quorum.Members {
		if quorumChanger.removed[vm] || quorumChanger.witnessVersions[vm] >= quorumChanger.quorum.Version {
			count++
		}
	}
	return count
}
