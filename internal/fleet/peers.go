package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	pulsePeriod   = 500 * time.Millisecond // between heartbeats; three missed ones count as silence
	tokenPeers    = 3                      // proxies asked for tokens at once
	probePatience = 600 * time.Millisecond // for the other proxies' word on a primary: a probe and a round trip
	seedTimeout   = time.Second
)

// peers exchanges heartbeats, configuration and tokens with the other proxies.
type peers struct {
	proxy     *Proxy
	transport *peer.Transport

	mutex  sync.Mutex
	views  map[spool.VM]peerView
	probes map[uint64]chan bool
	last   uint64 // number of the newest probe
}

// peerView is what another proxy told in its newest heartbeat.
type peerView struct {
	heard  spool.Instant
	sent   int64 // by the other proxy's clock
	groups map[spool.Group]peerGroup
}

// peerGroup is what another proxy has seen of a group's primary.
type peerGroup struct {
	primary spool.Server
	contact spool.Instant // by this VM's clock, late by the way of the heartbeat
	acked   spool.LogPosition
}

func newPeers(proxy *Proxy) *peers {
	peers := &peers{proxy: proxy, views: map[spool.VM]peerView{}, probes: map[uint64]chan bool{}}
	guard := peer.NewPlainGuard(proxy.settings.VM, sock.Dialer(sock.DefaultSilence))
	peers.transport = peer.New(proxy.settings.VM, guard, proxy.members.address, peer.WithLogger(proxy.logger), peer.WithObserver(proxy.metrics.PeerBytes))
	return peers
}

// run sends heartbeats until the context ends.
func (peers *peers) run(ctx context.Context, listener net.Listener) {
	peers.transport.Listen(listener, peers)
	go peers.meetSeeds(ctx)
	stop := peers.proxy.timers.Every(pulsePeriod, spool.TimerFunc(func(spool.Instant) { peers.pulse() }))
	<-ctx.Done()
	stop()
	peers.transport.Close()
}

// meetSeeds learns the names of the proxies at the seeds' addresses, so that the fleet is found without the store.
func (peers *peers) meetSeeds(ctx context.Context) {
	for _, address := range peers.proxy.settings.Seeds {
		if address == peers.proxy.settings.Peers {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, seedTimeout)
		vm, err := peers.transport.Identify(bounded, address)
		cancel()
		if err != nil {
			event.Log(peers.proxy.logger, event.SeedUnreached, zap.String("Address", address), event.Cause(err))
			continue
		}
		peers.proxy.members.add(spool.Member{VM: vm, Address: address})
	}
}

// pulse sends a heartbeat to every other proxy.
func (peers *peers) pulse() {
	proxy := peers.proxy
	now := proxy.timers.Now()
	pulse := proxy.describe(now)
	version, confirmed := proxy.reader.state()
	for _, to := range proxy.members.others() {
		peers.mutex.Lock()
		view, known := peers.views[to]
		peers.mutex.Unlock()
		copied := &wire.Pulse{
			Domain: pulse.Domain, Address: pulse.Address, Leaving: pulse.Leaving, SentNanos: int64(now),
			Revision: pulse.Revision, StoreReached: pulse.StoreReached, Groups: pulse.Groups,
			StoreVersion: uint64(version), ConfirmedAgeNanos: int64(now.Sub(confirmed)),
		}
		if known {
			copied.EchoNanos = view.sent
			copied.HoldNanos = int64(now.Sub(view.heard))
		}
		peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_Pulse{Pulse: copied}})
	}
}

// describe returns what this proxy tells the others.
func (proxy *Proxy) describe(now spool.Instant) *wire.Pulse {
	proxy.mutex.Lock()
	pulse := &wire.Pulse{
		Domain: string(proxy.settings.Domain), Address: proxy.settings.Peers, Leaving: proxy.draining,
		Revision: proxy.revision, StoreReached: proxy.storeReached,
	}
	proxy.mutex.Unlock()
	for _, name := range proxy.pool.Groups() {
		view := proxy.pool.View(name)
		if view.Contact == 0 {
			continue
		}
		pulse.Groups = append(pulse.Groups, &wire.GroupPulse{
			Group: string(name), Primary: string(view.Primary),
			Term: uint64(view.Newest.Position.Term), Number: uint64(view.Newest.Position.Number),
			MarkAgeNanos: int64(now.Sub(view.Newest.Sent)), ContactAgeNanos: int64(now.Sub(view.Contact)),
			AckedTerm: uint64(view.Acked.Term), AckedNumber: uint64(view.Acked.Number),
		})
	}
	return pulse
}

// Receive handles a message of another proxy.
func (peers *peers) Receive(from spool.VM, envelope *wire.Envelope) {
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Pulse:
		peers.receivePulse(from, body.Pulse)
	case *wire.Envelope_ConfigRequest:
		peers.sendConfig(from)
	case *wire.Envelope_ConfigAnswer:
		for _, object := range body.ConfigAnswer.Objects {
			peers.proxy.applyConfig(spool.Object{
				Kind: object.Kind, Name: object.Name, Version: spool.Version(object.Version), Body: object.Body,
			})
		}
	case *wire.Envelope_TokenRequest:
		tokens := peers.proxy.limiter.spare(spool.Team(body.TokenRequest.Team), body.TokenRequest.Tokens)
		if tokens > 0 {
			transfer := &wire.TokenTransfer{Team: body.TokenRequest.Team, Tokens: tokens}
			peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_TokenTransfer{TokenTransfer: transfer}})
		}
	case *wire.Envelope_TokenTransfer:
		peers.proxy.limiter.give(spool.Team(body.TokenTransfer.Team), body.TokenTransfer.Tokens)
	case *wire.Envelope_ProbeRequest:
		go peers.answerProbe(from, body.ProbeRequest)
	case *wire.Envelope_ProbeAnswer:
		peers.deliverProbe(body.ProbeAnswer)
	}
}

// Serve passes a stream on to a backend server that the sender cannot reach.
func (peers *peers) Serve(_ spool.VM, stream net.Conn) {
	peers.proxy.relayed(stream)
}

func (peers *peers) receivePulse(from spool.VM, pulse *wire.Pulse) {
	proxy := peers.proxy
	now := proxy.timers.Now()
	sent := spool.Instant(0) // no later than when the pulse was sent, by this VM's clock
	if pulse.EchoNanos != 0 {
		sent = spool.Instant(pulse.EchoNanos).Add(time.Duration(pulse.HoldNanos))
	}
	proxy.members.heard(from, pulse, sent, now)
	view := peerView{heard: now, sent: pulse.SentNanos, groups: map[spool.Group]peerGroup{}}
	for _, group := range pulse.Groups {
		name, primary := spool.Group(group.Group), spool.Server(group.Primary)
		acked := spool.LogPosition{Term: spool.Term(group.AckedTerm), Number: spool.Position(group.AckedNumber)}
		mark := fresh.Mark{Position: spool.LogPosition{
			Term: spool.Term(group.Term), Number: spool.Position(group.Number),
		}}
		if sent != 0 {
			mark.Sent = sent.Add(-time.Duration(group.MarkAgeNanos))
		}
		proxy.pool.Learn(name, primary, mark, acked)
		view.groups[name] = peerGroup{
			primary: primary, contact: now.Add(-time.Duration(group.ContactAgeNanos)), acked: acked,
		}
	}
	peers.mutex.Lock()
	peers.views[from] = view
	peers.mutex.Unlock()
	if sent != 0 {
		proxy.reader.learn(spool.Version(pulse.StoreVersion), sent.Add(-time.Duration(pulse.ConfirmedAgeNanos)))
	}
	if pulse.Revision > proxy.currentRevision() {
		peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}}})
	}
}

func (peers *peers) sendConfig(to spool.VM) {
	object, known := peers.proxy.configCopy()
	if !known {
		return
	}
	answer := &wire.ConfigAnswer{Objects: []*wire.ObjectCopy{{
		Kind: object.Kind, Name: object.Name, Version: uint64(object.Version), Body: object.Body,
	}}}
	peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: answer}})
}

// askTokens asks a few live proxies for tokens of a team.
func (peers *peers) askTokens(team spool.Team, tokens float64) {
	live := peers.proxy.members.live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, to := range live[:min(len(live), tokenPeers)] {
		request := &wire.TokenRequest{Team: string(team), Tokens: tokens}
		peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_TokenRequest{TokenRequest: request}})
	}
}

// Contact returns when any proxy last reached a group's primary, and the newest acknowledged position that any told;
// complete says that every registered proxy has told it since an instant.
func (peers *peers) Contact(
	group spool.Group, primary spool.Server, since spool.Instant,
) (contact spool.Instant, acked spool.LogPosition, complete bool) {
	complete = true
	for _, vm := range peers.proxy.members.others() {
		peers.mutex.Lock()
		view := peers.views[vm]
		peers.mutex.Unlock()
		if view.heard <= since {
			complete = false
		}
		seen := view.groups[group]
		acked = acked.Max(seen.acked)
		if seen.primary == primary {
			contact = max(contact, seen.contact)
		}
	}
	return contact, acked, complete
}

// Canvass asks all live proxies if they reach a server as primary, or any if none is named.
func (peers *peers) Canvass(group spool.Group, server spool.Server) elect.Canvass {
	live := peers.proxy.members.live()
	answers := make(chan bool, len(live))
	peers.mutex.Lock()
	peers.last++
	sequence := peers.last
	peers.probes[sequence] = answers
	peers.mutex.Unlock()
	defer func() {
		peers.mutex.Lock()
		delete(peers.probes, sequence)
		peers.mutex.Unlock()
	}()
	request := &wire.ProbeRequest{Group: string(group), Server: string(server), Sequence: sequence}
	for _, to := range live {
		peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: request}})
	}
	canvass := elect.Canvass{Asked: len(live), Alone: len(peers.proxy.members.others()) == 0}
	timer := time.NewTimer(probePatience)
	defer timer.Stop()
	for range live {
		select {
		case answer := <-answers:
			if answer {
				canvass.Reached++
				return canvass
			}
			canvass.Unreached++
		case <-timer.C:
			return canvass
		}
	}
	return canvass
}

func (peers *peers) answerProbe(from spool.VM, request *wire.ProbeRequest) {
	group, server := spool.Group(request.Group), spool.Server(request.Server)
	if server == "" {
		server = peers.proxy.pool.View(group).Primary
	}
	reached, sure := peers.proxy.pool.Recently(group, server)
	if !sure {
		testimony := elect.Testify(peers.proxy.pool.AskPrimary(group, server, peers.proxy.operator()))
		reached = testimony == elect.Acts || testimony == elect.Full
	}
	answer := &wire.ProbeAnswer{
		Group: request.Group, Server: request.Server, Sequence: request.Sequence, Reached: reached,
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
	case answers <- answer.Reached:
	default: // a duplicate; there is room for one answer a proxy
	}
}

// Supervises tells if this proxy looks after a group.
func (peers *peers) Supervises(group spool.Group) bool { return peers.proxy.members.supervises(group) }

// Operator returns the team that connections of the proxy itself name.
func (peers *peers) Operator() spool.Team { return peers.proxy.operator() }

// Settled tells if the registry shows all servers that run.
func (peers *peers) Settled() bool { return peers.proxy.servers.Settled() }
