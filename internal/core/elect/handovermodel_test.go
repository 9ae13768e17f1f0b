package elect

import (
	"fmt"
	"slices"

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

// modelProxy is a proxy. The first two supervise the group when they believe that they do.
type modelProxy struct {
	closures   Closures
	registered bool
	down       bool // it does not run
	cut        bool // the supervisors do not reach it, though it runs

	known                        spool.LogPosition // newest that it remembers to have acknowledged
	ackedSent, restartedAt, told int               // numbers of events; zero if there was none
	position                     spool.LogPosition // that the primary told it
}

// modelSupervisor is the supervisor of a proxy.
type modelSupervisor struct {
	proxy    *modelProxy
	token    int
	issued   map[uint64]bool // tokens of this process
	handover *Handover       // nil while it has begun none
	orders   []Order         // of earlier tokens, that may be carried out when it closes commits
	closed   bool            // all proxies have closed the commits for its handover
	waits    bool            // for the effect of its request
	pauses   map[*modelServer]spool.Term
	led      spool.Term // newest term that it knows to have a primary
	bound    spool.LogPosition
	before   *spool.LogPosition // that the primary told in the newest round
	resumes  bool               // its handover has ended, and it resumes the replicas when it gets to it
}

// modelRequest is a request of a promotion that the platform has not carried out.
type modelRequest struct {
	supervisor *modelSupervisor
	chosen     spool.Server
	token      int
	accepted   bool // it takes effect soon; else it has not arrived
	closed     bool // it relies on closed commits
}

// commit is a commit that a primary has completed.
type commit struct {
	server spool.Server // that completed it
	sent   spool.Instant
	proxy  *modelProxy
}

// handoverModel is one state of a group, its proxies and two supervisors that replace the primary. A commit waits until one replica
// has received it, then it is acknowledged. Handovers begin at any time and for any cause; proxies start, stop, join the fleet and are
// out of the supervisors' reach; a request is carried out at any time as long as the platform has seen no newer token. What the model
// leaves out, with the sentence of the platform's description that grants it:
//   - A replica counts for a commit once it "has received it", the primary's log "and nothing more" leads the next term, and
//     replicas that "were ahead of it are rolled back": logs are prefixes of the primary's, or of an earlier primary's.
//   - No commit waits for longer than its primary leads: "the old primary loses leadership at that moment".
//   - A supervisor begins none while an accepted request has not taken effect: that happens "some hundred ms after that call", and
//     another holder waits for 2 s after a token.
//   - The store "loses nothing that it has acknowledged" and its answers "are linearizable".
//   - A new server holds the primary's log: "its log is transferred to a new server at its address".
//   - No order is carried out after OrderTTL: "seconds later".
//   - A failover that could not tell all proxies to close commits relies on pauses. It is carried out at once, until then no server joins,
//     restarts or is missing from a registry that counts as complete, no other request is on its way, and the newest term is known
//     to the supervisor or to a server that answers. No sentence grants this.
//   - Between a replica's answer and the command that resumes it nothing happens. No sentence grants this.
type handoverModel struct {
	servers     []*modelServer
	primary     *modelServer
	term        spool.Term
	acked       map[spool.LogPosition]bool   // commits that the proxies have answered, and whether as acknowledged
	waiting     map[spool.LogPosition]commit // commits that the primary has completed and the proxies have not answered
	sentBy      map[spool.LogPosition]commit
	proxies     []*modelProxy
	supervisors [2]*modelSupervisor
	tokens      int             // newest token
	target      spool.Server    // that its holder is going to promote
	stored      []Order         // with the newest token
	seen        int             // newest token that the platform has seen
	requests    []*modelRequest // on their way

	now int // number of the event

	rules      earlierRules
	promotions int
	violation  string
}

// earlierRules turns off what the supervisors and the proxies learned to do.
type earlierRules struct {
	skipJoined     bool // they do not learn of servers that join after they began
	trustRestarted bool // they rely on what restarted proxies know
	resumeAll      bool // they resume every replica that they have paused
	closePrimary   bool // commits are closed for the primary that the supervisor knows, and its term
	ackClosed      bool // closed commits are acknowledged although the chosen server lacks them
	pausePlanned   bool // planned handovers rely on pauses
	joinPlanned    bool // meanwhile servers join and restart
	lapsePlanned   bool // meanwhile entries of servers lapse, and the registry counts as complete
	forgetOrders   bool // a proxy that starts does not read which orders are out
	skipMembers    bool // they do not learn of proxies that were registered lately
	endEarlier     bool // a closure ends the earlier ones
	settleAtOnce   bool // a request for the present primary counts before one that was accepted earlier has taken effect
}

// decide is the rule under test: it returns the step for what a supervisor knows.
type decide func(handover Handover) Step

func newHandoverModel() *handoverModel {
	model := &handoverModel{
		term: 1, acked: map[spool.LogPosition]bool{}, waiting: map[spool.LogPosition]commit{}, sentBy: map[spool.LogPosition]commit{},
	}
	for _, name := range []spool.Server{"a", "b", "c"} {
		model.servers = append(model.servers, &modelServer{name: name, term: 1})
	}
	for i := range 3 {
		model.proxies = append(model.proxies, &modelProxy{registered: i < len(model.supervisors), down: i >= len(model.supervisors)})
	}
	for i := range model.supervisors {
		model.supervisors[i] = newModelSupervisor(model.proxies[i])
	}
	model.primary = model.servers[0]
	return model
}

func newModelSupervisor(proxy *modelProxy) *modelSupervisor {
	return &modelSupervisor{proxy: proxy, pauses: map[*modelServer]spool.Term{}, issued: map[uint64]bool{}}
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
	proxy := model.proxies[choose(len(model.proxies))]
	switch choose(25) {
	case 0, 1:
		model.write(proxy)
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
	case 12, 13, 14:
		model.ask(supervisor, rule, choose)
	case 15, 16:
		model.takeEffect()
	case 17:
		model.resume(supervisor)
	case 18:
		model.restart(proxy, choose)
	case 19:
		if !model.primary.hidden && !proxy.down {
			proxy.position, proxy.told = model.confirmed(), model.now
			proxy.closures.RecordLead(model.primary.name, lastPosition(model.primary.log).Term, spool.Instant(model.now))
		}
	case 20, 21:
		model.askChosen(proxy)
	case 22:
		if model.mayStart(model.rules.lapsePlanned) {
			server.lapsed = !server.lapsed
		}
	case 23:
		model.arrive(choose)
	case 24:
		proxy.cut = choose(3) == 0
	}
}

// write has a proxy send a commit to the primary.
func (model *handoverModel) write(proxy *modelProxy) {
	if proxy.down || proxy.closures.Startup.remaining(spool.Instant(model.now)) > 0 && model.now%2 == 0 {
		return
	}
	position := spool.LogPosition{Term: model.term, Number: spool.Position(len(model.primary.log) + 1)}
	model.primary.log = append(model.primary.log, position)
	model.sentBy[position] = commit{server: model.primary.name, sent: spool.Instant(model.now), proxy: proxy}
}

// askChosen has a proxy ask the servers that may be promoted for their status.
func (model *handoverModel) askChosen(proxy *modelProxy) {
	now := spool.Instant(model.now)
	for _, order := range proxy.closures.Pending(now) {
		for _, server := range model.servers {
			if server.name == order.Server && !server.hidden && !proxy.down {
				status := spool.ReplicaStatus{Primary: server == model.primary, Term: server.term, Received: lastPosition(server.log)}
				proxy.closures.RecordStatus(server.name, status, now)
			}
		}
	}
	model.answer()
}

// mayStart reports whether a server may join, restart or be missing from the registry, as the model assumes: not while a promotion that
// relies on pauses is on its way, unless that is a planned one and the rules under test allow it.
func (model *handoverModel) mayStart(planned bool) bool {
	for _, request := range model.requests {
		handover := request.supervisor.handover
		if !request.closed && !(planned && handover != nil && handover.Cause == CausePlanned) {
			return false
		}
	}
	return true
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
		sent := model.sentBy[position]
		if _, answered := model.acked[position]; !answered && !waits && sent.server == model.primary.name {
			model.waiting[position] = sent
		}
	}
	model.answer()
}

// answer has the proxies acknowledge the commits that they may.
func (model *handoverModel) answer() {
	for position, commit := range model.waiting {
		step, _ := commit.proxy.closures.Judge(commit.server, position, commit.sent, spool.Instant(model.now))
		if model.rules.ackClosed {
			step = Acknowledge
		}
		if step == AwaitChosen || step == AwaitOrders {
			continue
		}
		delete(model.waiting, position)
		model.acked[position] = step == Acknowledge
		if model.acked[position] {
			commit.proxy.known = commit.proxy.known.Max(position)
			commit.proxy.ackedSent = max(commit.proxy.ackedSent, int(commit.sent))
		}
	}
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
