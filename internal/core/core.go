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
	tendInterval      = 1 * time.Second
	readRetry         = 250 * time.Millisecond
	longestRetry      = 4 * time.Second
	askInterval       = 100 * time.Millisecond
	settleTime        = 1 * time.Second
	removedAfter      = 30 * time.Second
	maxCandidates     = 4
)

// Core decides for one proxy; it is not safe for concurrent use.
type Core struct {
	self         spool.Member
	leaseOptions []lease.Option
	termsOptions []terms.Option
	shareOptions []share.Option

	view        *member.View
	ranks       *member.Ranks
	store       *policy.Store
	witness     *lease.Witness
	changer     *lease.QuorumChanger
	quorum      lease.Quorum
	ownVersions *versions               // nil when an object changed since they were listed
	copies      map[string]spool.Object // newest quorum object, to pass on to peers

	roles   ordered[lease.Role, *role]
	groups  ordered[spool.Group, *group]
	owners  map[spool.Team]*share.Owner
	located map[lease.Role]location

	started       spool.Instant
	confirmed     confirmation
	trusted       bool
	complete      bool // every kind of object was read from the platform itself
	configured    bool // manifests came from the platform or from a complete peer
	reassign      bool // the roles to seek may have changed since they were last looked at
	reading       bool
	readAfter     spool.Instant
	failures      int // reads in a row that failed
	watching      bool
	nextHeartbeat spool.Instant
	nextAssign    spool.Instant
	nextTend      spool.Instant
	asked         map[spool.VM]spool.Instant
	sought        map[lease.Role]spool.Instant
	removed       map[spool.VM]spool.Instant // VMs that the platform removed from its list, and since when
	sequence      uint64
	without       mechanism // turned off by tests that expect a proof to fail

	effects []Effect
}

// Option changes a Core under construction.
type Option func(*Core)

// WithLease sets options of the leases.
func WithLease(options ...lease.Option) Option {
	return func(core *Core) { core.leaseOptions = append(core.leaseOptions, options...) }
}

// WithTerms sets options of the leaders.
func WithTerms(options ...terms.Option) Option {
	return func(core *Core) { core.termsOptions = append(core.termsOptions, options...) }
}

// WithShares sets options of the owners of rates.
func WithShares(options ...share.Option) Option {
	return func(core *Core) { core.shareOptions = append(core.shareOptions, options...) }
}

// New returns the core of a proxy that starts at now; self.Incarnation must rise with each start of the VM.
func New(self spool.Member, now spool.Instant, options ...Option) *Core {
	core := &Core{
		self:    self,
		view:    member.New(self),
		store:   policy.NewStore(),
		copies:  map[string]spool.Object{},
		roles:   newOrdered[lease.Role, *role](),
		groups:  newOrdered[spool.Group, *group](),
		owners:  map[spool.Team]*share.Owner{},
		located: map[lease.Role]location{},
		started: now,
		asked:   map[spool.VM]spool.Instant{},
		sought:  map[lease.Role]spool.Instant{},
		removed: map[spool.VM]spool.Instant{},
	}
	for _, option := range options {
		option(core)
	}
	core.ranks = member.NewRanks(core.view)
	core.witness = lease.NewWitness(self.VM, now, core.leaseOptions...)
	core.changer = lease.NewQuorumChanger(core.leaseOptions...)
	return core
}

// Handle takes in one event and returns what to do, in order; the slice is valid until the next call.
func (core *Core) Handle(event Event, now spool.Instant) []Effect {
	core.effects = core.effects[:0]
	core.dispatch(event, now)
	core.settle(now)
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
	case ObjectsSeen:
		core.confirmed.raise(event.SentAt)
		core.learnAll(event.Objects, now)
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
	case TokensWanted:
		core.tokensWanted(event.Request, now)
	case Found:
		core.found(event.Member)
	case Missing:
		core.seek(event.Role, now)
	case Leave:
		core.leave(now)
	case Drained:
		core.drained(event.Group, now)
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
		core.assign(now)
		core.watch(now)
		core.tendQuorum(now)
	}
	core.tickRoles(now)
	core.tickGroups(now)
	core.judgeTrust(now)
	if now >= core.nextHeartbeat {
		core.heartbeat(now)
	}
}

// settled tells whether the fleet had time to be heard since the start; a duty taken before would be taken by all.
func (core *Core) settled(now spool.Instant) bool { return now.Sub(core.started) >= settleTime }

func (core *Core) receive(from spool.VM, envelope *wire.Envelope, now spool.Instant) {
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Heartbeat:
		core.heard(from, envelope.Incarnation, body.Heartbeat, now)
	case *wire.Envelope_VoteRequest:
		answer := core.witness.Vote(from, body.VoteRequest, now)
		core.send(from, &wire.Envelope{Body: &wire.Envelope_VoteAnswer{VoteAnswer: answer}})
	case *wire.Envelope_VoteAnswer:
		core.voted(from, body.VoteAnswer, now)
	case *wire.Envelope_GrantRequest:
		answer := core.grant(from, body.GrantRequest, now)
		if answer != nil {
			core.send(from, &wire.Envelope{Body: &wire.Envelope_GrantAnswer{GrantAnswer: answer}})
		}
	case *wire.Envelope_GrantAnswer:
		core.granted(from, body.GrantAnswer)
	case *wire.Envelope_ProbeRequest:
		core.probe(from, body.ProbeRequest)
	case *wire.Envelope_ProbeAnswer:
		core.groupEvent(spool.Group(body.ProbeAnswer.Group), terms.ProbeSeen{From: from, Answer: body.ProbeAnswer}, now)
	case *wire.Envelope_ConfigRequest:
		core.configAsked(from, body.ConfigRequest)
	case *wire.Envelope_ConfigAnswer:
		core.configAnswered(body.ConfigAnswer, now)
	case *wire.Envelope_LocateRequest:
		answer := core.witness.Locate(lease.Role(body.LocateRequest.Role), now)
		answer.Quorum = uint64(core.witness.QuorumVersion())
		core.send(from, &wire.Envelope{Body: &wire.Envelope_LocateAnswer{LocateAnswer: answer}})
	case *wire.Envelope_LocateAnswer:
		core.locateAnswered(from, body.LocateAnswer, now)
	}
}

func (core *Core) leave(now spool.Instant) {
	core.view.Leave()
	for _, role := range core.roles.sorted {
		if _, isGroup := role.name.Group(); isGroup && role.held {
			continue
		}
		core.giveUp(role, now)
	}
	core.heartbeat(now)
}

func (core *Core) drained(group spool.Group, now spool.Instant) {
	if role := core.roles.get(lease.GroupRole(group)); role != nil {
		core.giveUp(role, now)
	}
}

func (core *Core) send(to spool.VM, envelope *wire.Envelope) {
	envelope.From = string(core.self.VM)
	envelope.Incarnation = core.self.Incarnation
	core.emit(Send{To: to, Envelope: envelope})
}

func (core *Core) emit(effect Effect) { core.effects = append(core.effects, effect) }

func (core *Core) nonce() uint64 {
	core.sequence++
	return core.sequence
}
