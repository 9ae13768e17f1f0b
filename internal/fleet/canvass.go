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
	triers        = 8                      // proxies that try a primary at once: each may cost it a handshake
	lastAnswers   = 100 * time.Millisecond // for proxies that are not live, after all live ones have answered
	probePatience = 600 * time.Millisecond // for the other proxies' word on a primary: a probe and a round trip
)

// Canvass asks a few live proxies to try if they reach a server as primary, or any if none is named. If none does, all
// registered ones say what they know of it.
func (peers *peers) Canvass(group spool.Group, server spool.Server) elect.Canvass {
	live := peers.proxy.members.liveMembers()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	asked := live[:min(len(live), triers)]
	request := &wire.ProbeRequest{Group: string(group), Server: string(server)}
	canvass := peers.ask(request, asked, len(asked))
	canvass.Alone = len(peers.proxy.members.all()) == 0
	if !canvass.Dead() {
		return canvass
	}
	all := peers.proxy.members.all()
	told := peers.ask(&wire.ProbeRequest{Group: string(group), Server: string(server), KnownOnly: true}, all, len(live))
	canvass.Reached += told.Reached
	canvass.Acked = canvass.Acked.Max(told.Acked)
	canvass.Complete = told.Complete
	return canvass
}

// ask sends a request to some proxies and gathers the answers, of which so many are expected soon.
func (peers *peers) ask(request *wire.ProbeRequest, members []roster.Member, expected int) elect.Canvass {
	answers := make(chan *wire.ProbeAnswer, len(members))
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
	for _, member := range members {
		peers.transport.Send(member.VM, &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: request}})
	}
	canvass := elect.Canvass{Asked: len(members)}
	timer := time.NewTimer(probePatience)
	defer timer.Stop()
	for count := range members {
		if count == expected {
			timer.Reset(lastAnswers)
		}
		select {
		case answer := <-answers:
			canvass.Acked = canvass.Acked.Max(spool.LogPosition{
				Term: spool.Term(answer.AckedTerm), Number: spool.Position(answer.AckedNumber),
			})
			if answer.Reached {
				canvass.Reached++
				return canvass
			}
			canvass.Unreached++
		case <-timer.C:
			return canvass
		}
	}
	canvass.Complete = true
	return canvass
}

func (peers *peers) answerProbe(from spool.VM, request *wire.ProbeRequest) {
	group, server := spool.Group(request.Group), spool.Server(request.Server)
	if server == "" {
		server, _ = peers.proxy.pool.Primary(group)
	}
	reached, sure := peers.proxy.pool.Recently(group, server)
	if !sure && !request.KnownOnly {
		testimony := elect.Testify(peers.proxy.pool.AskPrimary(group, server, peers.proxy.operator()))
		reached = testimony == elect.Acts || testimony == elect.Full
	}
	acked := peers.proxy.pool.Acked(group)
	answer := &wire.ProbeAnswer{
		Group: request.Group, Server: request.Server, Sequence: request.Sequence, Reached: reached,
		AckedTerm: uint64(acked.Term), AckedNumber: uint64(acked.Number),
	}
	peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ProbeAnswer{ProbeAnswer: answer}})
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
