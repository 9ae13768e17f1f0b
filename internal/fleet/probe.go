package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxProbers       = 8                      // proxies that probe a primary at once: each may cost it a handshake
	stragglerTimeout = 100 * time.Millisecond // wait for proxies that are not live after all live ones have answered
	domainTimeout    = 250 * time.Millisecond // wait for the answers of this proxy's failure domain, which come without a probe
	probeTimeout     = 600 * time.Millisecond // wait for the answers about a primary: a probe and a round trip
)

// PollPrimary asks up to maxProbers live proxies to probe a server as primary, or the primary that they know if none is named.
// If they confirm the failure, all registered proxies are asked for what they know without a probe.
func (peers *peers) PollPrimary(group spool.Group, server spool.Server) elect.PeerPoll {
	live := peers.proxy.members.liveMembers()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	asked := vmNames(live[:min(len(live), maxProbers)])
	request := &wire.ProbeRequest{Group: string(group), Server: string(server)}
	poll := elect.PeerPoll{Asked: len(asked), NoPeers: peers.proxy.members.size() == 1}
	for _, answer := range peers.gatherAnswers(request, asked, len(asked), probeTimeout) {
		mergeAnswer(&poll, answer)
	}
	if !poll.ConfirmsFailure() {
		return poll
	}
	known := peers.pollMembers(group, server, &wire.ProbeRequest{})
	poll.Reached += known.Reached
	poll.Acked = poll.Acked.Max(known.Acked)
	poll.AckedBound, poll.Complete = known.AckedBound, known.Complete
	return poll
}

// PollCommits asks all registered proxies for the outcomes of the commits that they sent to a primary.
func (peers *peers) PollCommits(group spool.Group, server spool.Server) elect.PeerPoll {
	return peers.pollMembers(group, server, &wire.ProbeRequest{HearAll: true})
}

// CloseCommits asks all registered proxies, this one included, to acknowledge no commit that a closure covers for elect.OrderTTL. A
// complete result has the newest position that any of them has acknowledged or will acknowledge until then.
func (peers *peers) CloseCommits(group spool.Group, closure elect.Closure) elect.PeerPoll {
	members := peers.proxy.members.version()
	own, closed := peers.proxy.pool.CloseCommits(group, closure)
	poll := peers.pollMembers(group, closure.Primary, &wire.ProbeRequest{
		HearAll: true, CloseCommits: true, Term: uint64(closure.Term), Chosen: string(closure.Chosen), Token: closure.Token,
		MaySend: closure.MaySend, Orders: encodeOrders(closure.Orders), PartialOrders: closure.Partial,
	})
	poll.Acked, poll.AckedBound = poll.Acked.Max(own.Position), poll.AckedBound.Max(own.Position)
	poll.Complete, poll.Members = poll.Complete && closed, members
	return poll
}

// OpenCommits ends the closure of a supervisor that gave its promotion up. At a proxy that is not reached the closure ends by itself.
func (peers *peers) OpenCommits(group spool.Group, token uint64) {
	peers.proxy.pool.OpenCommits(group, token)
	peers.pollMembers(group, "", &wire.ProbeRequest{HearAll: true, OpenCommits: true, Token: token})
}

// SettleOrders ends the closures up to a token. A proxy that is not reached keeps them for elect.OrderTTL.
func (peers *peers) SettleOrders(group spool.Group, token uint64) {
	peers.proxy.pool.SettleOrders(group, token)
	peers.pollMembers(group, "", &wire.ProbeRequest{HearAll: true, SettleOrders: true, Token: token})
}

// RefreshMembers reads the registered proxies from the store, and returns the state of the membership then.
func (peers *peers) RefreshMembers(ctx context.Context) (members uint64, err error) {
	err = peers.proxy.members.listRegistry(ctx)
	return peers.proxy.members.version(), err
}

// pollMembers asks all registered proxies what they know of a server; in a large fleet relays ask those of their failure
// domains. The poll ends with the first proxy that reached the server unless request.HearAll is set.
func (peers *peers) pollMembers(group spool.Group, server spool.Server, request *wire.ProbeRequest) elect.PeerPoll {
	request.Group, request.Server, request.KnownOnly = string(group), string(server), true
	asked, own := peers.proxy.timers.Now(), peers.proxy.pool.Acked(group)
	poll := elect.PeerPoll{Acked: own.Position, Known: own.Knowledge}
	if !peers.proxy.members.relayed() {
		all := vmNames(peers.proxy.members.others())
		answers := peers.gatherAnswers(request, all, len(peers.proxy.members.liveMembers()), probeTimeout)
		for _, answer := range answers {
			mergeAnswer(&poll, answer)
		}
		poll.Commits.Merge(peers.proxy.pool.CommitStats(group, server))
		poll.Asked = len(all)
		peers.boundAcked(group, &poll, asked, len(answers) == len(all))
		return poll
	}
	request.ForDomain = true
	relays, domains := peers.proxy.members.domainRelays()
	domain := peers.proxy.settings.Domain
	complete := map[string]bool{string(domain): domains[domain] == 1}
	mostComplete := map[string]*wire.ProbeAnswer{} // by failure domain: both of its relays count the same commits
	behind := map[spool.Domain]bool{}              // its relays know fewer members than this proxy
	for _, answer := range peers.gatherAnswers(request, relays, len(relays), probeTimeout) {
		poll.AddAnswer(answer.Reached, ackedPosition(answer))
		poll.Known.Merge(decodeKnowledge(answer))
		if known := mostComplete[answer.Domain]; known == nil || known.Answered < answer.Answered {
			mostComplete[answer.Domain] = answer
		}
		registered := uint32(domains[spool.Domain(answer.Domain)])
		if answer.Answered >= max(answer.Registered, registered) {
			complete[answer.Domain] = true
		}
		if answer.Registered < registered {
			behind[spool.Domain(answer.Domain)] = true
		}
	}
	peers.tellMembers(relays, behind)
	for _, answer := range mostComplete {
		poll.Commits.Merge(decodeCommitStats(answer)) // the relay of this proxy's failure domain includes its commits
	}
	poll.Asked = len(relays)
	peers.boundAcked(group, &poll, asked, len(complete) == len(domains) && complete[string(domain)])
	return poll
}

// boundAcked completes the result of a poll that began at an instant and that all registered proxies answered or did not.
func (peers *peers) boundAcked(group spool.Group, poll *elect.PeerPoll, began spool.Instant, allAnswered bool) {
	now := peers.proxy.timers.Now()
	bound, known := poll.Known.Bound(poll.Acked, now.Sub(began), func(age time.Duration) (spool.LogPosition, bool) {
		return peers.proxy.pool.KnownReadPosition(group, now.Add(-age))
	})
	poll.AckedBound, poll.Complete = bound, allAnswered && known
}

// mergeAnswer adds an answer to the result of a poll.
func mergeAnswer(poll *elect.PeerPoll, answer *wire.ProbeAnswer) {
	poll.AddAnswer(answer.Reached, ackedPosition(answer))
	poll.Commits.Merge(decodeCommitStats(answer))
	poll.Known.Merge(decodeKnowledge(answer))
}

func decodeClosure(request *wire.ProbeRequest) elect.Closure {
	return elect.Closure{
		Chosen: spool.Server(request.Chosen), Primary: spool.Server(request.Server), Term: spool.Term(request.Term), Token: request.Token,
		MaySend: request.MaySend, Orders: decodeOrders(request.Orders), Partial: request.PartialOrders,
	}
}

func encodeOrders(orders []elect.Order) (encoded []*wire.PendingOrder) {
	for _, order := range orders {
		encoded = append(encoded, &wire.PendingOrder{
			Server: string(order.Server), Term: uint64(order.Term), Token: order.Token, Leads: order.Leads,
		})
	}
	return encoded
}

func decodeOrders(encoded []*wire.PendingOrder) (orders []elect.Order) {
	for _, order := range encoded {
		orders = append(orders, elect.Order{
			Server: spool.Server(order.Server), Term: spool.Term(order.Term), Token: order.Token, Leads: order.Leads,
		})
	}
	return orders
}

func decodeKnowledge(answer *wire.ProbeAnswer) elect.AckedKnowledge {
	return elect.AckedKnowledge{Restarted: time.Duration(answer.UninformedNanos), AckedAge: time.Duration(answer.AckedAgeNanos)}
}

func encodeKnowledge(answer *wire.ProbeAnswer, known elect.AckedKnowledge) {
	answer.UninformedNanos, answer.AckedAgeNanos = int64(known.Restarted), int64(known.AckedAge)
}

func decodeCommitStats(answer *wire.ProbeAnswer) elect.CommitStats {
	return elect.CommitStats{
		Unanswered: int(answer.Unanswered), SinceFirst: time.Duration(answer.StalledNanos),
		SinceLast: time.Duration(answer.LastNanos), SinceAnswer: time.Duration(answer.AnsweredNanos),
	}
}

func encodeCommitStats(answer *wire.ProbeAnswer, stats elect.CommitStats) {
	answer.Unanswered = uint32(stats.Unanswered)
	answer.StalledNanos, answer.LastNanos = int64(stats.SinceFirst), int64(stats.SinceLast)
	answer.AnsweredNanos = int64(stats.SinceAnswer)
}

func vmNames(members []roster.Member) []spool.VM {
	names := make([]spool.VM, 0, len(members))
	for _, member := range members {
		names = append(names, member.VM)
	}
	return names
}

func ackedPosition(answer *wire.ProbeAnswer) spool.LogPosition {
	return spool.LogPosition{Term: spool.Term(answer.AckedTerm), Number: spool.Position(answer.AckedNumber)}
}

// gatherAnswers sends a request to the targets and returns their answers. It ends at the first proxy that reached the
// server unless request.HearAll is set; after the expected number of answers it waits only stragglerTimeout for the rest.
func (peers *peers) gatherAnswers(
	request *wire.ProbeRequest, targets []spool.VM, expected int, timeout time.Duration,
) (received []*wire.ProbeAnswer) {
	answers := make(chan *wire.ProbeAnswer, len(targets))
	peers.mutex.Lock()
	peers.lastSequence++
	request.Sequence = peers.lastSequence
	peers.pendingProbes[request.Sequence] = answers
	peers.mutex.Unlock()
	defer func() {
		peers.mutex.Lock()
		delete(peers.pendingProbes, request.Sequence)
		peers.mutex.Unlock()
	}()
	relayed, now := peers.proxy.members.relayed(), peers.proxy.timers.Now()
	for _, vm := range targets {
		if relayed {
			peers.introduce(vm, now, roster.ScopeNone) // a proxy that does not know the address of this one cannot answer
		}
		peers.transport.Send(vm, &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: request}})
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for count := range targets {
		if count == expected {
			timer.Reset(stragglerTimeout)
		}
		select {
		case answer := <-answers:
			received = append(received, answer)
			if answer.Reached && !request.HearAll {
				return received
			}
		case <-timer.C:
			return received
		}
	}
	return received
}

func (peers *peers) answerProbe(from spool.VM, request *wire.ProbeRequest) {
	group, server := spool.Group(request.Group), spool.Server(request.Server)
	if server == "" {
		server, _ = peers.proxy.pool.Primary(group)
	}
	reached, conclusive := peers.proxy.pool.RecentContact(group, server)
	if !conclusive && !request.KnownOnly {
		result := elect.ClassifyProbe(peers.proxy.pool.ProbePrimary(group, server, peers.proxy.operator()))
		reached = result == elect.ActsAsPrimary || result == elect.Overloaded
	}
	acked := peers.proxy.pool.Acked(group)
	if request.OpenCommits {
		peers.proxy.pool.OpenCommits(group, request.Token)
	}
	if request.SettleOrders {
		peers.proxy.pool.SettleOrders(group, request.Token)
	}
	if request.CloseCommits {
		closed := false
		if acked, closed = peers.proxy.pool.CloseCommits(group, decodeClosure(request)); !closed {
			return // without this answer the sender's poll is not complete
		}
	}
	answer := &wire.ProbeAnswer{
		Group: request.Group, Server: request.Server, Sequence: request.Sequence, Reached: reached,
		AckedTerm: uint64(acked.Position.Term), AckedNumber: uint64(acked.Position.Number),
	}
	encodeKnowledge(answer, acked.Knowledge)
	encodeCommitStats(answer, peers.proxy.pool.CommitStats(group, server))
	if request.ForDomain {
		peers.answerForDomain(answer, request)
	}
	peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ProbeAnswer{ProbeAnswer: answer}})
}

// answerForDomain merges the answers of the other proxies in this failure domain into an answer.
func (peers *peers) answerForDomain(answer *wire.ProbeAnswer, asked *wire.ProbeRequest) {
	others, live := peers.proxy.members.domainMembers()
	request := proto.CloneOf(asked)
	request.ForDomain, request.KnownOnly = false, true
	answers := peers.gatherAnswers(request, others, live, domainTimeout)
	acked, stats, known := ackedPosition(answer), decodeCommitStats(answer), decodeKnowledge(answer)
	for _, other := range answers {
		stats.Merge(decodeCommitStats(other))
		answer.Reached = answer.Reached || other.Reached
		acked = acked.Max(ackedPosition(other))
		known.Merge(decodeKnowledge(other))
	}
	encodeKnowledge(answer, known)
	answer.AckedTerm, answer.AckedNumber = uint64(acked.Term), uint64(acked.Number)
	encodeCommitStats(answer, stats)
	answer.Domain = string(peers.proxy.settings.Domain)
	answer.Answered, answer.Registered = uint32(len(answers)+1), uint32(len(others)+1)
}

func (peers *peers) deliverProbeAnswer(answer *wire.ProbeAnswer) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	answers := peers.pendingProbes[answer.Sequence]
	if answers == nil {
		return // the request has ended
	}
	select {
	case answers <- answer:
	default: // a duplicate: the channel holds one answer per proxy
	}
}
