package fleet

import (
	"math/rand/v2"
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	triers         = 8                      // proxies that try a primary at once: each may cost it a handshake
	lastAnswers    = 100 * time.Millisecond // for proxies that are not live, after all live ones have answered
	domainPatience = 250 * time.Millisecond // the same for those of the own failure domain, which are asked only for what they know
	probePatience  = 600 * time.Millisecond // for the other proxies' word on a primary: a probe and a round trip
)

// Canvass asks a few live proxies to try if they reach a server as primary, or any if none is named. If none does, all
// registered ones say what they know of it.
func (peers *peers) PollPrimary(group spool.Group, server spool.Server) elect.PeerPoll {
	live := peers.proxy.members.liveMembers()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	asked := vms(live[:min(len(live), triers)])
	request := &wire.ProbeRequest{Group: string(group), Server: string(server)}
	poll := elect.PeerPoll{Asked: len(asked), NoPeers: peers.proxy.members.size() == 1}
	for _, answer := range peers.ask(request, asked, len(asked), probePatience) {
		note(&poll, answer)
	}
	if !poll.ConfirmsFailure() {
		return poll
	}
	told := peers.poll(group, server, false)
	poll.Reached += told.Reached
	poll.Acked = poll.Acked.Max(told.Acked)
	poll.Complete = told.Complete
	return poll
}

// CanvassCommits asks all registered proxies what became of the commits that they sent to a primary.
func (peers *peers) PollCommits(group spool.Group, server spool.Server) elect.PeerPoll {
	return peers.poll(group, server, true)
}

// poll asks all registered proxies what they know of a server; in a large fleet relays ask those of their failure domains.
// The poll ends with the first one that reached the server unless all are to be heard.
func (peers *peers) poll(group spool.Group, server spool.Server, hearAll bool) elect.PeerPoll {
	request := &wire.ProbeRequest{Group: string(group), Server: string(server), KnownOnly: true, HearAll: hearAll}
	var poll elect.PeerPoll
	if !peers.proxy.members.relayed() {
		all := vms(peers.proxy.members.all())
		answers := peers.ask(request, all, len(peers.proxy.members.liveMembers()), probePatience)
		for _, answer := range answers {
			note(&poll, answer)
		}
		poll.Commits.Merge(peers.proxy.pool.CommitStats(group))
		poll.Asked, poll.Complete = len(all), len(answers) == len(all)
		return poll
	}
	request.ForDomain = true
	relays, domains := peers.proxy.members.domainRelays()
	own := peers.proxy.settings.Domain
	complete := map[string]bool{string(own): domains[own] == 1}
	fullest := map[string]*wire.ProbeAnswer{} // both relays of a failure domain count the same commits
	for _, answer := range peers.ask(request, relays, len(relays), probePatience) {
		poll.AddAnswer(answer.Reached, ackedOf(answer))
		if known := fullest[answer.Domain]; known == nil || known.Answered < answer.Answered {
			fullest[answer.Domain] = answer
		}
		if registered := domains[spool.Domain(answer.Domain)]; answer.Answered >= max(answer.Registered, uint32(registered)) {
			complete[answer.Domain] = true
		}
	}
	for _, answer := range fullest {
		poll.Commits.Merge(commitsOf(answer)) // this proxy's own are among those of its failure domain
	}
	poll.Asked = len(relays)
	poll.Complete = len(complete) == len(domains) && complete[string(own)]
	return poll
}

// note adds what an answer tells to a canvass.
func note(poll *elect.PeerPoll, answer *wire.ProbeAnswer) {
	poll.AddAnswer(answer.Reached, ackedOf(answer))
	poll.Commits.Merge(commitsOf(answer))
}

func commitsOf(answer *wire.ProbeAnswer) elect.CommitStats {
	return elect.CommitStats{
		Unanswered: int(answer.Unanswered), SinceFirst: time.Duration(answer.StalledNanos),
		SinceLast: time.Duration(answer.LastNanos), SinceAnswer: time.Duration(answer.AnsweredNanos),
	}
}

func setCommits(answer *wire.ProbeAnswer, commits elect.CommitStats) {
	answer.Unanswered = uint32(commits.Unanswered)
	answer.StalledNanos, answer.LastNanos = int64(commits.SinceFirst), int64(commits.SinceLast)
	answer.AnsweredNanos = int64(commits.SinceAnswer)
}

func vms(members []roster.Member) []spool.VM {
	names := make([]spool.VM, 0, len(members))
	for _, member := range members {
		names = append(names, member.VM)
	}
	return names
}

func ackedOf(answer *wire.ProbeAnswer) spool.LogPosition {
	return spool.LogPosition{Term: spool.Term(answer.AckedTerm), Number: spool.Position(answer.AckedNumber)}
}

// ask sends a request to some proxies and gathers the answers, of which so many are expected soon, until one reached the
// server if not all are to be heard.
func (peers *peers) ask(
	request *wire.ProbeRequest, asked []spool.VM, expected int, patience time.Duration,
) (gathered []*wire.ProbeAnswer) {
	answers := make(chan *wire.ProbeAnswer, len(asked))
	peers.mutex.Lock()
	peers.last++
	request.Sequence = peers.last
	peers.probes[request.Sequence] = answers
	peers.mutex.Unlock()
	defer func() {
		peers.mutex.Lock()
		delete(peers.probes, request.Sequence)
		peers.mutex.Unlock()
	}()
	for _, vm := range asked {
		peers.transport.Send(vm, &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: request}})
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for count := range asked {
		if count == expected {
			timer.Reset(lastAnswers)
		}
		select {
		case answer := <-answers:
			gathered = append(gathered, answer)
			if answer.Reached && !request.HearAll {
				return gathered
			}
		case <-timer.C:
			return gathered
		}
	}
	return gathered
}

func (peers *peers) answerProbe(from spool.VM, request *wire.ProbeRequest) {
	group, server := spool.Group(request.Group), spool.Server(request.Server)
	if server == "" {
		server, _ = peers.proxy.pool.Primary(group)
	}
	reached, sure := peers.proxy.pool.RecentContact(group, server)
	if !sure && !request.KnownOnly {
		result := elect.ClassifyProbe(peers.proxy.pool.ProbePrimary(group, server, peers.proxy.operator()))
		reached = result == elect.ActsAsPrimary || result == elect.Overloaded
	}
	acked := peers.proxy.pool.AckedPosition(group)
	answer := &wire.ProbeAnswer{
		Group: request.Group, Server: request.Server, Sequence: request.Sequence, Reached: reached,
		AckedTerm: uint64(acked.Term), AckedNumber: uint64(acked.Number),
	}
	setCommits(answer, peers.proxy.pool.CommitStats(group))
	if request.ForDomain {
		peers.answerForDomain(answer, request.HearAll)
	}
	peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ProbeAnswer{ProbeAnswer: answer}})
}

// answerForDomain adds to an answer what the other proxies of the failure domain know.
func (peers *peers) answerForDomain(answer *wire.ProbeAnswer, hearAll bool) {
	others, live := peers.proxy.members.inDomain()
	request := &wire.ProbeRequest{Group: answer.Group, Server: answer.Server, KnownOnly: true, HearAll: hearAll}
	told := peers.ask(request, others, live, domainPatience)
	acked, commits := ackedOf(answer), commitsOf(answer)
	for _, other := range told {
		commits.Merge(commitsOf(other))
		answer.Reached = answer.Reached || other.Reached
		acked = acked.Max(ackedOf(other))
	}
	answer.AckedTerm, answer.AckedNumber = uint64(acked.Term), uint64(acked.Number)
	setCommits(answer, commits)
	answer.Domain = string(peers.proxy.settings.Domain)
	answer.Answered, answer.Registered = uint32(len(told)+1), uint32(len(others)+1)
}

func (peers *peers) deliverProbe(answer *wire.ProbeAnswer) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	answers := peers.probes[answer.Sequence]
	if answers == nil {
		return // the answer came too late
	}
	select {
	case answers <- answer:
	default: // a duplicate; there is room for one answer a proxy
	}
}
