package elect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// modelServer is a server of the model; all but the primary are replicas.
type modelServer struct {
	name     spool.Server
	received int
	paused   spool.Term
	hidden   bool // the proxies do not reach it, the primary does
	joined   bool // since the supervisor began
}

// handoverModel is one state of a group, its proxies and a supervisor that replaces the primary. A commit is acknowledged once
// one replica that is not paused has received it; the others receive it some events later. After the request of a promotion no
// server joins or restarts unless the commits are closed: the supervisor's rounds pause such a server, and the model has no time.
type handoverModel struct {
	servers []*modelServer
	primary *modelServer
	term    spool.Term
	acked   int
	closed  bool // no proxy acknowledges commits
	bound   int  // newest position that the proxies may have acknowledged, as told when they closed the commits

	now, ackedAt, restartedAt, toldAt int // numbers of events; zero if there was none
	known                             int // newest acknowledged position that the proxies remember
	told                              int // position that the primary told the supervisor

	handover   *Handover // nil while the supervisor has begun none
	isOrdered  bool
	rules      earlierRules
	promotions int
	violation  string
}

// earlierRules turns off what the supervisor learned to do.
type earlierRules struct {
	skipJoined     bool // it does not learn of servers that join after it began
	trustRestarted bool // it relies on what restarted proxies know
}

// decide is the rule under test: it returns the step for what the supervisor knows.
type decide func(handover Handover) Step

func newHandoverModel() *handoverModel {
	model := &handoverModel{term: 1}
	for _, name := range []spool.Server{"a", "b", "c"} {
		model.servers = append(model.servers, &modelServer{name: name})
	}
	model.primary = model.servers[0]
	return model
}

func (model *handoverModel) position(number int) spool.LogPosition {
	if number == 0 {
		return spool.LogPosition{}
	}
	return spool.LogPosition{Term: 1, Number: spool.Position(number)}
}

// step applies one event; choose returns a number below its argument.
func (model *handoverModel) step(choose func(int) int, rule decide) {
	model.now++
	server := model.servers[choose(len(model.servers))]
	switch choose(14) {
	case 0, 1, 2:
		model.commit(server)
	case 3, 4:
		model.replicate(server)
	case 5:
		server.hidden = !server.hidden
	case 6: // a new server holds the primary's log
		if len(model.servers) < 5 && (!model.isOrdered || model.closed) {
			name := spool.Server(fmt.Sprintf("n%d", len(model.servers)))
			model.servers = append(model.servers, &modelServer{name: name, received: model.primary.received, joined: true})
		}
	case 7: // a restarted replica receives again
		if !model.isOrdered || model.closed {
			server.paused = 0
		}
	case 8:
		model.begin(choose)
	case 9, 10:
		model.ask(rule)
	case 11:
		model.takeEffect()
	case 12:
		model.restartProxies()
	case 13:
		if !model.primary.hidden {
			model.told, model.toldAt = model.primary.received, model.now
		}
	}
}

// restartProxies restarts all proxies, the supervisor included, unless a promotion is requested: they forget what they closed.
func (model *handoverModel) restartProxies() {
	if model.isOrdered {
		return
	}
	model.handover, model.closed = nil, false
	model.known, model.ackedAt, model.told, model.toldAt = 0, 0, 0, 0
	model.restartedAt = model.now
}

// ackedBound returns a position at or above every acknowledged commit, if the proxies know one.
func (model *handoverModel) ackedBound() (bound int, known bool) {
	knowledge := AckedKnowledge{}
	if model.restartedAt != 0 && !model.rules.trustRestarted {
		knowledge.Restarted = time.Duration(model.now - model.restartedAt)
	}
	if model.ackedAt != 0 {
		knowledge.AckedAge = time.Duration(model.now - model.ackedAt)
	}
	position, known := knowledge.Bound(model.position(model.known), 0, func(age time.Duration) (spool.LogPosition, bool) {
		return model.position(model.told), model.toldAt != 0 && time.Duration(model.now-model.toldAt) <= age
	})
	return int(position.Number), known
}

// commit acknowledges a write that one replica has received, together with all writes before it.
func (model *handoverModel) commit(confirming *modelServer) {
	if model.primary.hidden || confirming == model.primary || confirming.paused > model.term {
		return
	}
	model.primary.received++
	confirming.received = model.primary.received
	if !model.closed {
		model.acked = model.primary.received
		model.known, model.ackedAt = model.acked, model.now
	}
}

func (model *handoverModel) replicate(server *modelServer) {
	if server != model.primary && server.paused <= model.term {
		server.received = model.primary.received
	}
}

// begin starts a handover. The supervisor may act on a view from before another one's promotion; one that began before ended
// midway and left its replicas paused.
func (model *handoverModel) begin(choose func(int) int) {
	primary, term := model.primary.name, model.term
	if choose(2) == 0 {
		primary, term = "a", 1
	}
	chosen := model.servers[choose(len(model.servers))]
	cause := []Cause{CausePlanned, CauseUnreachable, CauseStalled, CauseRetired, CauseEvacuated, CauseOrdered}[choose(6)]
	if model.isOrdered || chosen.name == primary || cause == CauseUnreachable && !model.primary.hidden {
		return
	}
	for _, server := range model.servers {
		server.joined = false
	}
	model.handover = &Handover{Cause: cause, Primary: primary, Chosen: chosen.name, PauseTerm: term + 1, SyncReplicas: 1}
	model.closed, model.bound = false, 0
	if cause != CausePlanned && primary == model.primary.name && choose(2) == 0 {
		model.bound, model.closed = model.ackedBound()
	}
}

// ask is one round of the supervisor: it pauses the replicas, queries the others and carries the decision out.
func (model *handoverModel) ask(rule decide) {
	if model.handover == nil {
		return
	}
	known := *model.handover
	known.RegistryRead, known.TokenUsable = !model.rules.skipJoined, true
	known.CommitsClosed, known.AckedBound = model.closed, model.position(model.bound)
	for _, server := range model.servers {
		if server.joined && model.rules.skipJoined {
			continue
		}
		known.Reports = append(known.Reports, model.report(server))
	}
	if model.isOrdered {
		return
	}
	switch rule(known) {
	case StepPromote:
		model.isOrdered = true
	case StepGiveUp:
		for _, server := range model.servers {
			if !server.hidden {
				server.paused = 0
			}
		}
		model.handover, model.closed = nil, false
	}
}

// report sends a server the command of a round and returns what it says of itself.
func (model *handoverModel) report(server *modelServer) ServerReport {
	handover := model.handover
	if server.hidden {
		return ServerReport{Server: server.name}
	}
	replica := server != model.primary && server.name != handover.Chosen && server.name != handover.Primary
	if replica && handover.PauseTerm > model.term {
		server.paused = handover.PauseTerm
	}
	return ServerReport{Server: server.name, Answered: true, Status: spool.ReplicaStatus{
		Primary: server == model.primary, Term: model.term, Received: model.position(server.received), PausedTerm: server.paused,
	}}
}

// takeEffect makes the chosen server the primary with what it has received.
func (model *handoverModel) takeEffect() {
	if !model.isOrdered {
		return
	}
	for _, server := range model.servers {
		if server.name == model.handover.Chosen {
			model.primary = server
		}
	}
	if model.primary.received < model.acked {
		model.violation = fmt.Sprintf("%s was promoted at %d, commit %d was acknowledged", model.primary.name, model.primary.received, model.acked)
	}
	model.term++
	model.promotions++
	for _, server := range model.servers {
		server.paused, server.received = 0, min(server.received, model.primary.received)
	}
	model.handover, model.isOrdered, model.closed = nil, false, false
}

// search plays random orders of events and returns the first violation of a rule, and the number of promotions.
func search(rule decide, rules earlierRules) (violation string, promotions int) {
	const (
		runs   = 20_000
		events = 60
	)
	for seed := range runs {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		model := newHandoverModel()
		model.rules = rules
		for range events {
			model.step(random.IntN, rule)
			if model.violation != "" {
				return fmt.Sprintf("seed %d: %s", seed, model.violation), promotions
			}
		}
		promotions += model.promotions
	}
	return "", promotions
}

func nextStep(known Handover) Step {
	step, _ := known.Next()
	return step
}

// without returns the rule with a change of what it is told.
func without(change func(known *Handover)) decide {
	return func(known Handover) Step {
		change(&known)
		return nextStep(known)
	}
}

// TestNoOrderOfEventsLosesACommit guards against a promotion that loses an acknowledged commit while servers join, restart, are
// out of the proxies' reach and not of the primary's, proxies restart, and supervisors end midway or act on an old view.
func TestNoOrderOfEventsLosesACommit(t *testing.T) {
	for _, rules := range []earlierRules{{}, {skipJoined: true}} {
		violation, promotions := search(nextStep, rules)
		qt.Check(t, violation, qt.Equals, "")
		qt.Check(t, promotions > 1000, qt.IsTrue, qt.Commentf("%d", promotions))
	}
}

// TestModelFindsTheLossesOfEarlierRules shows that the model finds the losses of each rule that an earlier version followed: a
// server out of reach counts as paused, a server that joined is not looked for, roles and terms in the answers are not used,
// acknowledged positions count although the primary may commit again, and so do those of proxies that have restarted.
func TestModelFindsTheLossesOfEarlierRules(t *testing.T) {
	for name, rule := range map[string]decide{
		"unreachable counts as paused": without(func(known *Handover) {
			for i := range known.Reports {
				if report := &known.Reports[i]; !report.Answered && report.Server != known.Chosen && report.Server != known.Primary {
					*report = ServerReport{Server: report.Server, Answered: true, Status: spool.ReplicaStatus{Term: 1, PausedTerm: known.PauseTerm}}
				}
			}
		}),
		"joined servers are not looked for": without(func(known *Handover) { known.RegistryRead = true }),
		"roles and terms are not used": without(func(known *Handover) {
			for i := range known.Reports {
				status := &known.Reports[i].Status
				status.Primary, status.Term = known.Reports[i].Server == known.Primary, 0
				status.PausedTerm = known.PauseTerm
			}
		}),
		"commits stay open":        without(func(known *Handover) { known.CommitsClosed = known.Cause != CausePlanned }),
		"restarted proxies vouch":  nextStep,
		"the bound is not checked": without(func(known *Handover) { known.AckedBound = spool.LogPosition{} }),
	} {
		violation, _ := search(rule, earlierRules{
			skipJoined: name == "joined servers are not looked for", trustRestarted: name == "restarted proxies vouch",
		})
		qt.Check(t, violation, qt.Not(qt.Equals), "", qt.Commentf(name))
		t.Logf("%s: %s", name, violation)
	}
}
