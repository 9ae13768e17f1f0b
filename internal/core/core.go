package core

import (
	"fmt"
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/member"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	assignInterval    = 100 * time.Millisecond
	quorumInterval    = 1 * time.Second
	readRetry         = 250 * time.Millisecond
	maxReadRetry      = 4 * time.Second
	requestInterval   = 100 * time.Millisecond
	startupDelay      = 1 * time.Second
	removedAfter      = 30 * time.Second
	maxCandidates     = 4
)

// Core makes the decisions of one proxy; it is not safe for concurrent use.
type Core struct {
	self         spool.Member
	leaseOptions []lease.Option
	termsOptions []terms.Option
	shareOptions []share.Option

	view           *member.View
	ranks          *member.Ranks
	store          *policy.Store
	witness        *lease.Witness
	changer        *lease.QuorumChanger
	quorum         lease.Quorum
	cachedVersions *versions               // nil if an object changed since the last listing
	copies         map[string]spool.Object // newest quorum object under its kind, sent to peers that lack it

	roles     sortedMap[lease.Role, *role]
	groups    sortedMap[spool.Group, *group]
	owners    map[spool.Team]*share.Owner
	locations map[lease.Role]location

	started           spool.Instant
	confirmed         confirmation
	trusted           bool
	complete          bool // objects of every kind were read from the platform
	configured        bool // all manifests were received, from the platform or a configured peer
	assignDue         bool // the roles to seek may have changed since the last assignment
	reading           bool
	readAfter         spool.Instant
	failures          int // consecutive failed reads
	watching          bool
	nextHeartbeat     spool.Instant
	nextAssign        spool.Instant
	nextQuorumCheck   spool.Instant
	nextConfigRequest map[spool.VM]spool.Instant
	nextLocate        map[lease.Role]spool.Instant
	removedSince      map[spool.VM]spool.Instant // when a VM was found missing from the platform's list
	sequence          uint64
	disabled          mechanism // tests disable one to show what it prevents

	effects []Effect
}

// Option changes a Core under construction.
type Option func(*Core)

// WithLease sets lease options.
func WithLease(options ...lease.Option) Option {
	return func(core *Core) { core.leaseOptions = append(core.leaseOptions, options...) }
}

// WithTerms sets options of the group leaders.
func WithTerms(options ...terms.Option) Option {
	return func(core *Core) { core.termsOptions = append(core.termsOptions, options...) }
}

// WithShares sets options of the owners of teams' rates.
func WithShares(options ...share.Option) Option {
	return func(core *Core) { core.shareOptions = append(core.shareOptions, options...) }
}

// New returns the core of a proxy that starts at now; self.Incarnation must increase with each start of the VM.
func New(self spool.Member, now spool.Instant, options ...Option) *Core {
	core := &Core{
		self:              self,
		view:              member.New(self),
		store:             policy.NewStore(),
		copies:            map[string]spool.Object{},
		roles:             newSortedMap[lease.Role, *role](),
		groups:            newSortedMap[spool.Group, *group](),
		owners:            map[spool.Team]*share.Owner{},
		locations:         map[lease.Role]location{},
		started:           now,
		nextConfigRequest: map[spool.VM]spool.Instant{},
		nextLocate:        map[lease.Role]spool.Instant{},
		removedSince:      map[spool.VM]spool.Instant{},
	}
	for _, option := range options {
		option(core)
	}
	core.ranks = member.NewRanks(core.view)
	core.witness = lease.NewWitness(self.VM, now, core.leaseOptions...)
	core.changer = lease.NewQuorumChanger(core.leaseOptions...)
	return core
}

// Handle processes one event and returns the effects to execute, in order; the slice is valid until the next call.
func (core *Core) Handle(event Event, now spool.Instant) []Effect {
	core.effects = core.effects[:0]
	core.dispatch(event, now)
	core.applyLeaseChanges(now)
	return core.effects
}

func (core *Core) dispatch(event Event, now spool.Instant) {
	switch event := event.(type) {
	case Started:
		core.readAll(now)
	case Tick:
		core.tick(now)
	case Received:
		core.receive(event.From, event.Envelope, now)
	case ObjectsRead:
		core.objectsRead(event, now)
	case ObjectsFailed:
		core.readFailed(now)
	case ObjectsChanged:
		core.confirmed.advance(event.SentAt)
		core.applyObjects(event.Objects, now)
	case ObjectRead:
		core.objectRead(event.Object, now)
	case ObjectFailed:
		core.objectFailed(event.Kind, event.Name, now)
	case ObjectWritten:
		core.objectWritten(event, now)
	case GroupEvent:
		core.groupEvent(event.Group, event.Event, now)
	case Probed:
		core.send(event.To, &wire.Envelope{Body: &wire.Envelope_ProbeAnswer{ProbeAnswer: event.Answer}})
	case TokensRequested:
		core.tokensRequested(event.Request, now)
	case MemberFound:
		core.addMember(event.Member)
	case HolderUnknown:
		core.locateRole(event.Role, now)
	case Leave:
		core.releaseAll(now)
	case GroupDrained:
		core.releaseDrained(event.Group, now)
	default:
		panic(fmt.Sprintf("core: unknown event %T", event))
	}
}

func (core *Core) tick(now spool.Instant) {
	unread := !core.complete || core.witness.NeedsPlatformRead()
	if unread && !core.reading && now >= core.readAfter {
		core.readAll(now)
	}
	if now >= core.nextAssign {
		core.nextAssign = now.Add(assignInterval)
		core.view.RemoveExpired(now)
		core.assignRoles(now)
		core.updateWatch(now)
		core.maintainQuorum(now)
	}
	core.tickRoles(now)
	core.tickGroups(now)
	core.updateTrust(now)
	if now >= core.nextHeartbeat {
		core.sendHeartbeats(now)
	}
}

// startupPassed reports whether other proxies had time to send heartbeats since the start. Before that, every proxy
// would rank itself first and take on the same duties.
func (core *Core) startupPassed(now spool.Instant) bool { return now.Sub(core.started) >= startupDelay }

func (core *Core) receive(from spool.VM, envelope *wire.Envelope, now spool.Instant) {
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Heartbeat:
		core.handleHeartbeat(from, envelope.Incarnation, body.Heartbeat, now)
	case *wire.Envelope_VoteRequest:
		answer := core.witness.Vote(from, body.VoteRequest, now)
		core.send(from, &wire.Envelope{Body: &wire.Envelope_VoteAnswer{VoteAnswer: answer}})
	case *wire.Envelope_VoteAnswer:
		core.handleVoteAnswer(from, body.VoteAnswer, now)
	case *wire.Envelope_GrantRequest:
		answer := core.grantTokens(from, body.GrantRequest, now)
		if answer != nil {
			core.send(from, &wire.Envelope{Body: &wire.Envelope_GrantAnswer{GrantAnswer: answer}})
		}
	case *wire.Envelope_GrantAnswer:
		core.handleGrantAnswer(from, body.GrantAnswer)
	case *wire.Envelope_ProbeRequest:
		core.handleProbeRequest(from, body.ProbeRequest)
	case *wire.Envelope_ProbeAnswer:
		core.groupEvent(spool.Group(body.ProbeAnswer.Group), terms.ProbeAnswered{From: from, Answer: body.ProbeAnswer}, now)
	case *wire.Envelope_ConfigRequest:
		core.handleConfigRequest(from, body.ConfigRequest)
	case *wire.Envelope_ConfigAnswer:
		core.handleConfigAnswer(body.ConfigAnswer, now)
	case *wire.Envelope_LocateRequest:
		answer := core.witness.Locate(lease.Role(body.LocateRequest.Role), now)
		answer.Quorum = uint64(core.witness.QuorumVersion())
		core.send(from, &wire.Envelope{Body: &wire.Envelope_LocateAnswer{LocateAnswer: answer}})
	case *wire.Envelope_LocateAnswer:
		core.handleLocateAnswer(from, body.LocateAnswer, now)
	}
}

func (core *Core) releaseAll(now spool.Instant) {
	core.view.Leave()
	for _, role := range core.roles.sorted {
		if _, isGroup := role.name.Group(); isGroup && role.held {
			continue
		}
		core.releaseRole(role, now)
	}
	core.sendHeartbeats(now)
}

func (core *Core) releaseDrained(group spool.Group, now spool.Instant) {
	if role := core.roles.get(lease.GroupRole(group)); role != nil {
		core.releaseRole(role, now)
	}
}

func (core *Core) send(to spool.VM, envelope *wire.Envelope) {
	envelope.From = string(core.self.VM)
	envelope.Incarnation = core.self.Incarnation
	core.emit(Send{To: to, Envelope: envelope})
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) nextNonce() uint64 {
	core.sequence++
	return core.sequence
}
