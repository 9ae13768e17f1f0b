package elect

import (
	"fmt"
	"math"
	"slices"
	"time"

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
	lapsed bool                // its entry is gone from the registry, though it runs
	joined bool                // since the supervisors began
}

// modelSupervisor is a proxy that supervises the group; others may believe that they do as well.
type modelSupervisor struct {
	token    int
	handover *Handover // nil while it has begun none
	pauses   map[*modelServer]spool.Term
	led      spool.Term // newest term that it knows to have a primary
	bound    spool.LogPosition
	before   *spool.LogPosition // that the primary told in the newest round
	resumes  bool               // its handover has ended, and it resumes the replicas when it gets to it
}

// commit is a commit that a primary has completed.
type commit struct {
	server spool.Server // that completed it
	sent   spool.Instant
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
//   - A closure lasts until the promotion takes effect: "some hundred ms after that call".
//   - A failover that could not tell all proxies to close commits relies on pauses. Until it takes effect no server joins, restarts or is
//     missing from a registry that counts as complete, and the newest term is known to the supervisor or to a server that answers. No
//     sentence grants this.
//   - Between a replica's answer and the command that resumes it nothing happens. No sentence grants this.
type handoverModel struct {
	servers     []*modelServer
	primary     *modelServer
	term        spool.Term
	acked       map[spool.LogPosition]bool   // commits that the proxies have answered, and whether as acknowledged
	waiting     map[spool.LogPosition]commit // commits that the primary has completed and the proxies have not answered
	sentAt      map[spool.LogPosition]int    // numbers of events
	supervisors [2]*modelSupervisor
	tokens      int              // newest token
	target      spool.Server     // that its holder is going to promote
	ordered     *modelSupervisor // whose request is on its way; nil if there is none

	now, ackedAt, restartedAt, toldAt int               // numbers of events; zero if there was none
	known                             spool.LogPosition // newest acknowledged one that the proxies remember
	told                              spool.LogPosition // that the primary told the proxies

	closures Closures

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
	ackClosed      bool // closed commits are acknowledged although the chosen server lacks them
	pausePlanned   bool // planned handovers rely on pauses
	joinPlanned    bool // meanwhile servers join and restart
	lapsePlanned   bool // meanwhile entries of servers lapse, and the registry counts as complete
}

// decide is the rule under test: it returns the step for what a supervisor knows.
type decide func(handover Handover) Step

func newHandoverModel() *handoverModel {
	model := &handoverModel{term: 1, acked: map[spool.LogPosition]bool{}, waiting: map[spool.LogPosition]commit{}, sentAt: map[spool.LogPosition]int{}}
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
	switch choose(21) {
	case 0, 1:
		position := spool.LogPosition{Term: model.term, Number: spool.Position(len(model.primary.log) + 1)}
		model.primary.log, model.sentAt[position] = append(model.primary.log, position), model.now
	case 2, 3, 4, 5:
		model.replicate(server, choose)
	case 6:
		server.hidden = !server.hidden
	case 7:
		server.cut = !server.cut
	case 8:
		if len(model.servers) < 5 && model.mayStart(model.rules.joinPlanned) {
			name := spool.Server(fmt.Sprintf("n%d", len(model.servers)))
			model.servers = append(model.servers, &modelServer{name: name, term: model.term, log: slices.Clone(model.primary.log), joined: true})
			model.confirm(len(model.primary.log))
		}
	case 9: // a restarted replica receives again
		if model.mayStart(model.rules.joinPlanned) {
			server.paused = 0
		}
	case 10, 11:
		model.begin(supervisor, choose)
	case 12, 13:
		model.ask(supervisor, rule, choose)
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
	case 18, 19:
		model.askChosen()
	case 20:
		if model.mayStart(model.rules.lapsePlanned) {
			server.lapsed = !server.lapsed
		}
	}
}

// askChosen has the proxies ask the server that is to be promoted for its status.
func (model *handoverModel) askChosen() {
	for _, server := range model.servers {
		if server.name == model.closures.Chosen(spool.Instant(model.now)) && !server.hidden {
			status := spool.ReplicaStatus{Primary: server == model.primary, Term: server.term, Received: lastPosition(server.log)}
			model.closures.RecordStatus(server.name, status)
		}
	}
	model.answer()
}

// mayStart reports whether a server may join, restart or be missing from the registry, as the model assumes: not while a promotion that
// relies on pauses is on its way, unless that is a planned one and the rules under test allow it.
func (model *handoverModel) mayStart(planned bool) bool {
	if model.ordered == nil || model.hasClosed(model.ordered) {
		return true
	}
	return planned && model.ordered.handover.Cause == CausePlanned
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

// confirm has the primary answer the commits that a replica has received.
func (model *handoverModel) confirm(received int) {
	for _, position := range model.primary.log[:received] {
		_, waits := model.waiting[position]
		if _, answered := model.acked[position]; !answered && !waits {
			model.waiting[position] = commit{server: model.primary.name, sent: spool.Instant(model.sentAt[position])}
		}
	}
	model.answer()
}

// answer has the proxies acknowledge the commits that they may.
func (model *handoverModel) answer() {
	for position, commit := range model.waiting {
		step := model.closures.Judge(commit.server, position, commit.sent)
		if model.rules.ackClosed {
			step = Acknowledge
		}
		if step == AwaitChosen {
			continue
		}
		delete(model.waiting, position)
		model.acked[position] = step == Acknowledge
		if model.acked[position] {
			model.known, model.ackedAt = model.known.Max(position), model.now
		}
	}
}

// hasClosed reports whether a supervisor has closed the commits. A closure lasts until the handover ends.
func (model *handoverModel) hasClosed(supervisor *modelSupervisor) bool {
	newest := model.closures.newest()
	return newest != nil && newest.Until == math.MaxInt64 && newest.Token == uint64(supervisor.token)
}

// confirmed returns the position that the primary tells: its newest commit that a replica has received.
func (model *handoverModel) confirmed() (position spool.LogPosition) {
	for _, commit := range model.primary.log {
		_, waits := model.waiting[commit]
		if _, answered := model.acked[commit]; answered || waits {
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
	model.known, model.told, model.ackedAt, model.toldAt, model.closures = spool.LogPosition{}, spool.LogPosition{}, 0, 0, nil
	model.restartedAt = model.now
	for position := range model.waiting {
		delete(model.waiting, position) // the callers have lost their connections
		model.acked[position] = false
	}
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
