package elect

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// modelServer is a server of the model; all but the primary are replicas. Its log is shared with the primary of the term that it
// follows up to where it was when that term began, or has received since.
type modelServer struct {
	name   spool.Server
	log    []spool.LogPosition // a position names one commit
	term   spool.Term          // newest that it follows
	paused spool.Term          // newest term for which it is paused
	hidden bool                // the proxies do not reach it
	cut    bool                // it and the primary do not reach each other
	joined bool                // since the supervisors began
}

// modelSupervisor is a proxy that supervises the group; others may believe that they do as well.
type modelSupervisor struct {
	token    int
	handover *Handover // nil while it has begun none
	pauses   map[*modelServer]spool.Term
	led      spool.Term // newest term that it knows to have a primary
	bound    spool.LogPosition
	resumes  bool // its handover has ended, and it resumes the replicas when it gets to it
}

// handoverModel is one state of a group, its proxies and two supervisors that replace the primary. A commit waits until one replica
// has received it, then it is acknowledged. Handovers begin at any time and for any cause. What the model leaves out, with the
// sentence of the platform's description that grants it:
//   - A replica counts for a commit once it "has received it", the primary's log "and nothing more" leads the next term, and
//     replicas that "were ahead of it are rolled back": logs are prefixes of the primary's, or of an earlier primary's.
//   - No commit waits for longer than its primary leads: "the old primary loses leadership at that moment".
//   - One request is on its way at a time: it takes effect "some hundred ms after that call", another holder waits for 2 s after a
//     token, and a request with an older token gets 409. Requests without an answer are tested in internal/super.
//   - A new server holds the primary's log: "its log is transferred to a new server at its address".
//   - After a request no server joins or restarts unless the commits are closed. No sentence grants this.
//   - Every running server is registered unless the registry counts as incomplete. No sentence grants this: an entry "is removed when
//     the server has left, or after three check-in intervals of silence".
//   - What a promotion began is known to a server that answers, or to the supervisor. No sentence grants this: a primary that was just
//     promoted may be out of reach, and all others may follow it only later (one of a million orders loses a commit so).
//   - Between a replica's answer and the command that resumes it nothing happens. No sentence grants this.
type handoverModel struct {
	servers     []*modelServer
	primary     *modelServer
	term        spool.Term
	acked       map[spool.LogPosition]bool // commits that the proxies have answered, and whether as acknowledged
	supervisors [2]*modelSupervisor
	tokens      int              // newest token
	target      spool.Server     // that its holder is going to promote
	ordered     *modelSupervisor // whose request is on its way; nil if there is none

	now, ackedAt, restartedAt, toldAt int               // numbers of events; zero if there was none
	known                             spool.LogPosition // newest acknowledged one that the proxies remember
	told                              spool.LogPosition // that the primary told the proxies

	closure Closure // newest one that the proxies were asked for

	rules      earlierRules
	promotions int
	violation  string
}

// earlierRules turns off what the supervisors learned to do.
type earlierRules struct {
	skipJoined     bool // they do not learn of servers that join after they began
	trustRestarted bool // they rely on what restarted proxies know
	resumeAll      bool // they resume every replica that they have paused
	closePrimary   bool // commits are closed for the primary that the supervisor knows, and its term
}

// decide is the rule under test: it returns the step for what a supervisor knows.
type decide func(handover Handover) Step

func newHandoverModel() *handoverModel {
	model := &handoverModel{term: 1, acked: map[spool.LogPosition]bool{}}
	for _, name := range []spool.Server{"a", "b", "c"} {
		model.servers = append(model.servers, &modelServer{name: name, term: 1})
	}
	for i := range model.supervisors {
		model.supervisors[i] = &modelSupervisor{pauses: map[*modelServer]spool.Term{}}
	}
	model.primary = model.servers[0]
	return model
}

func lastPosition(log []spool.LogPosition) spool.LogPosition {
	if len(log) == 0 {
		return spool.LogPosition{}
	}
	return log[len(log)-1]
}

// step applies one event; choose returns a number below its argument.
func (model *handoverModel) step(choose func(int) int, rule decide) {
	model.now++
	server, supervisor := model.servers[choose(len(model.servers))], model.supervisors[choose(len(model.supervisors))]
	switch choose(18) {
	case 0, 1:
		model.primary.log = append(model.primary.log, spool.LogPosition{Term: model.term, Number: spool.Position(len(model.primary.log) + 1)})
	case 2, 3, 4, 5:
		model.replicate(server, choose)
	case 6:
		server.hidden = !server.hidden
	case 7:
		server.cut = !server.cut
	case 8:
		if len(model.servers) < 5 && model.mayStart() {
			name := spool.Server(fmt.Sprintf("n%d", len(model.servers)))
			model.servers = append(model.servers, &modelServer{name: name, term: model.term, log: slices.Clone(model.primary.log), joined: true})
			model.confirm(len(model.primary.log))
		}
	case 9: // a restarted replica receives again
		if model.mayStart() {
			server.paused = 0
		}
	case 10, 11:
		model.begin(supervisor, choose)
	case 12, 13:
		model.ask(supervisor, rule)
	case 14:
		model.takeEffect()
	case 15:
		model.resume(supervisor)
	case 16:
		if choose(3) == 0 {
			model.restartProxies()
		}
	case 17:
		if !model.primary.hidden {
			model.told, model.toldAt = model.confirmed(), model.now
		}
	}
}

// mayStart reports whether a server may join or restart, as the model assumes.
func (model *handoverModel) mayStart() bool {
	return model.ordered == nil || model.hasClosed(model.ordered)
}

// replicate makes a replica follow the primary and receive a part of its log.
func (model *handoverModel) replicate(server *modelServer, choose func(int) int) {
	if server == model.primary || server.paused > model.term || server.cut {
		return
	}
	shared := 0
	for shared < min(len(server.log), len(model.primary.log)) && server.log[shared] == model.primary.log[shared] {
		shared++
	}
	received := len(model.primary.log)
	if choose(3) == 0 {
		received = shared + choose(received-shared+1)
	}
	server.term, server.log = model.term, slices.Clone(model.primary.log[:received])
	model.confirm(received)
}

// confirm answers the commits of the primary that a replica has received; those whose term is closed are not acknowledged.
func (model *handoverModel) confirm(received int) {
	for _, position := range model.primary.log[:received] {
		if _, answered := model.acked[position]; answered {
			continue
		}
		model.acked[position] = !model.isClosed(position.Term)
		if model.acked[position] {
			model.known, model.ackedAt = model.known.Max(position), model.now
		}
	}
}

// isClosed reports whether a commit of the primary is not acknowledged now.
func (model *handoverModel) isClosed(term spool.Term) bool {
	return model.closure.Covers(model.primary.name, term, spool.Instant(model.now))
}

// hasClosed reports whether a supervisor has closed the commits. A closure lasts until the handover ends.
func (model *handoverModel) hasClosed(supervisor *modelSupervisor) bool {
	return model.closure.Until != 0 && model.closure.Token == uint64(supervisor.token)
}

// confirmed returns the position that the primary tells: its newest commit that a replica has received.
func (model *handoverModel) confirmed() (position spool.LogPosition) {
	for _, commit := range model.primary.log {
		if _, answered := model.acked[commit]; answered {
			position = commit
		}
	}
	return position
}

// restartProxies restarts all proxies, the supervisors included, unless a promotion is requested: they forget what they closed.
func (model *handoverModel) restartProxies() {
	if model.ordered != nil {
		return
	}
	for i := range model.supervisors {
		model.supervisors[i] = &modelSupervisor{pauses: map[*modelServer]spool.Term{}}
	}
	model.known, model.told, model.ackedAt, model.toldAt, model.closure = spool.LogPosition{}, spool.LogPosition{}, 0, 0, Closure{}
	model.restartedAt = model.now
}

// ackedBound returns a position at or above every acknowledged commit, if the proxies know one.
func (model *handoverModel) ackedBound() (bound spool.LogPosition, known bool) {
	knowledge := AckedKnowledge{}
	if model.restartedAt != 0 && !model.rules.trustRestarted {
		knowledge.Restarted = time.Duration(model.now - model.restartedAt)
	}
	if model.ackedAt != 0 {
		knowledge.AckedAge = time.Duration(model.now - model.ackedAt)
	}
	return knowledge.Bound(model.known, 0, func(age time.Duration) (spool.LogPosition, bool) {
		return model.told, model.toldAt != 0 && time.Duration(model.now-model.toldAt) <= age
	})
}

// begin starts a handover with a new token. The supervisor may act on a view from before another one's promotion.
func (model *handoverModel) begin(supervisor *modelSupervisor, choose func(int) int) {
	if model.ordered != nil || supervisor.handover != nil || supervisor.resumes {
		return
	}
	primary, term := model.primary.name, model.term
	if choose(3) == 0 {
		primary, term = model.servers[0].name, 1
	}
	cause := []Cause{CausePlanned, CauseUnreachable, CauseStalled, CauseRetired, CauseEvacuated, CauseOrdered}[choose(6)]
	if cause == CauseUnreachable && !model.primary.hidden {
		return
	}
	for _, server := range model.servers {
		server.joined = false
	}
	chosen := model.choose(primary, cause, choose)
	if chosen == "" || chosen == primary {
		return
	}
	for _, server := range model.servers {
		if !server.hidden && server.name != primary {
			term = max(term, server.term)
		}
	}
	model.tokens++
	model.target = chosen
	supervisor.token = model.tokens
	supervisor.handover = &Handover{Cause: cause, Primary: primary, Chosen: chosen, PauseTerm: term + 1, SyncReplicas: 1}
}

// choose returns a server as the supervisors choose it, or any.
func (model *handoverModel) choose(primary spool.Server, cause Cause, choose func(int) int) spool.Server {
	if choose(3) == 0 {
		return model.servers[choose(len(model.servers))].name
	}
	var candidates []Candidate
	for _, server := range model.servers {
		if server.name != primary {
			status := spool.ReplicaStatus{Term: server.term, Received: lastPosition(server.log), PausedTerm: server.paused}
			candidates = append(candidates, Candidate{Server: server.name, Responded: !server.hidden, Status: status})
		}
	}
	if cause != CauseUnreachable && cause != CauseStalled {
		chosen, _ := ChooseSwitchover(candidates)
		return chosen
	}
	bound, known := model.ackedBound()
	chosen, _ := ChooseFailover(FailoverState{Candidates: candidates, SyncReplicas: 1, AckedBound: bound, AckedComplete: known})
	return chosen
}

// ask is one round of a supervisor: it pauses the replicas, queries the others and carries the decision out.
func (model *handoverModel) ask(supervisor *modelSupervisor, rule decide) {
	if supervisor.handover == nil {
		return
	}
	known := *supervisor.handover
	known.RegistryRead, known.TokenUsable = !model.rules.skipJoined, supervisor.token == model.tokens
	known.CommitsClosed, known.AckedBound = model.hasClosed(supervisor), supervisor.bound
	for _, server := range model.servers {
		if server.joined && model.rules.skipJoined {
			continue
		}
		known.Reports = append(known.Reports, model.report(supervisor, server))
	}
	if model.ordered != nil {
		return // a round after the request
	}
	switch rule(known) {
	case StepPromote:
		model.ordered = supervisor
	case StepGiveUp:
		model.end(supervisor)
	case StepWait:
		if known.Cause != CausePlanned && known.Cause != CauseEvacuated {
			model.closeCommits(supervisor)
		}
	}
}

// closeCommits has all proxies acknowledge no commits until a supervisor's handover ends.
func (model *handoverModel) closeCommits(supervisor *modelSupervisor) {
	bound, complete := model.ackedBound()
	if !complete {
		return
	}
	handover := supervisor.handover
	closure := Closure{
		Chosen: handover.Chosen, Primary: handover.Primary, Term: handover.PauseTerm - 1, Token: uint64(supervisor.token), Until: math.MaxInt64,
	}
	if model.rules.closePrimary {
		closure.Chosen = ""
	}
	if model.closure.Replace(closure, spool.Instant(model.now)) {
		supervisor.bound = bound
	}
}

// end ends a supervisor's handover; it resumes the replicas some events later.
func (model *handoverModel) end(supervisor *modelSupervisor) {
	if model.hasClosed(supervisor) {
		model.closure.Until = spool.Instant(model.now)
	}
	supervisor.handover, supervisor.resumes = nil, true
}

// report sends a server the command of a round and returns what it says of itself.
func (model *handoverModel) report(supervisor *modelSupervisor, server *modelServer) ServerReport {
	handover := supervisor.handover
	if server.hidden {
		return ServerReport{Server: server.name}
	}
	if server != model.primary && server.name != handover.Chosen && server.name != handover.Primary && handover.PauseTerm > server.term {
		server.paused = max(server.paused, handover.PauseTerm)
		supervisor.pauses[server] = handover.PauseTerm
	}
	return ServerReport{Server: server.name, Answered: true, Status: spool.ReplicaStatus{
		Primary: server == model.primary, Term: server.term, Received: lastPosition(server.log), PausedTerm: server.paused,
	}}
}

// takeEffect makes the chosen server the primary with what it has received.
func (model *handoverModel) takeEffect() {
	supervisor := model.ordered
	if supervisor == nil {
		return
	}
	for _, position := range model.primary.log {
		if _, answered := model.acked[position]; !answered {
			model.acked[position] = false // it waits no longer
		}
	}
	for _, server := range model.servers {
		if server.name == supervisor.handover.Chosen {
			model.primary = server
		}
	}
	for position, acked := range model.acked {
		if acked && !slices.Contains(model.primary.log, position) {
			model.violation = fmt.Sprintf("%s was promoted at %v, commit %v was acknowledged", model.primary.name, lastPosition(model.primary.log), position)
		}
	}
	model.term++
	model.promotions++
	model.primary.term, model.primary.paused = model.term, 0
	model.ordered, supervisor.led = nil, supervisor.handover.PauseTerm
	model.end(supervisor)
}

// resume ends the pauses of a supervisor whose handover has ended, however long ago.
func (model *handoverModel) resume(supervisor *modelSupervisor) {
	if !supervisor.resumes {
		return
	}
	supervisor.resumes = false
	isSole := supervisor.token == model.tokens || model.target == model.primary.name
	for server, term := range supervisor.pauses {
		if server.hidden {
			continue
		}
		pause := Pause{Term: term, Held: server.paused, Led: max(supervisor.led, server.term)}
		switch step := pause.Next(); {
		case step == PauseOver || step == PauseIsOwn && isSole || model.rules.resumeAll:
			server.paused = 0
		case step == PauseOfOther:
			supervisor.pauses[server] = server.paused
			continue
		case step == PauseIsOwn:
			continue
		}
		delete(supervisor.pauses, server)
	}
}

// search plays random orders of events, from a first seed on, and returns the first violation of a rule, and the number of promotions.
func search(rule decide, rules earlierRules, first int) (violation string, promotions int) {
	const (
		runs   = 30_000
		events = 100
	)
	for seed := first; seed < first+runs; seed++ {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
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

// TestNoOrderOfEventsLosesACommit guards against a promotion that loses an acknowledged commit while servers join, restart, follow
// different terms, are out of the proxies' reach and not of the primary's, or the reverse, proxies restart, and two supervisors act in
// turn, end midway or late, or act on an old view.
func TestNoOrderOfEventsLosesACommit(t *testing.T) {
	for _, rules := range []earlierRules{{}, {skipJoined: true}} {
		violation, promotions := search(nextStep, rules, 0)
		qt.Check(t, violation, qt.Equals, "")
		qt.Check(t, promotions > 1000, qt.IsTrue, qt.Commentf("%d", promotions))
	}
}

// TestModelFindsTheLossesOfEarlierRules shows that the model finds the losses of each rule that an earlier version followed: a
// server out of reach counts as paused, a server that joined is not looked for, roles and terms in the answers are not used,
// acknowledged positions count although the primary may commit again, and so do those of proxies that have restarted, a supervisor
// resumes replicas that another one has paused since, and commits are closed only for the primary that it knows.
func TestModelFindsTheLossesOfEarlierRules(t *testing.T) {
	for name, earlier := range map[string]struct {
		rule  decide
		rules earlierRules
		first int // seed
	}{
		"unreachable counts as paused": {rule: without(func(known *Handover) {
			for i := range known.Reports {
				if report := &known.Reports[i]; !report.Answered && report.Server != known.Chosen && report.Server != known.Primary {
					*report = ServerReport{Server: report.Server, Answered: true, Status: spool.ReplicaStatus{Term: 1, PausedTerm: known.PauseTerm}}
				}
			}
		})},
		"joined servers are not looked for": {
			rule: without(func(known *Handover) { known.RegistryRead = true }), rules: earlierRules{skipJoined: true},
		},
		"roles and terms are not used": {rule: without(func(known *Handover) {
			for i := range known.Reports {
				status := &known.Reports[i].Status
				status.Primary, status.Term = known.Reports[i].Server == known.Primary, 0
				status.PausedTerm = known.PauseTerm
			}
		})},
		"commits stay open":                   {rule: without(func(known *Handover) { known.CommitsClosed = known.Cause != CausePlanned })},
		"the bound is not checked":            {rule: without(func(known *Handover) { known.AckedBound = spool.LogPosition{} })},
		"restarted proxies vouch":             {rule: nextStep, rules: earlierRules{trustRestarted: true}},
		"pauses of others are ended":          {rule: nextStep, rules: earlierRules{resumeAll: true}},
		"the primary that is known is closed": {rule: nextStep, rules: earlierRules{closePrimary: true}, first: 58_000},
	} {
		violation, _ := search(earlier.rule, earlier.rules, earlier.first)
		qt.Check(t, violation, qt.Not(qt.Equals), "", qt.Commentf(name))
		t.Logf("%s: %s", name, violation)
	}
}
