package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	introduction     = 3 * time.Second  // after the start: heartbeats to all, until all proxies of a fleet have started
	introduceBeats   = 8                // rounds between heartbeats that name the address, for proxies that missed it
	sessionKeepAlive = 15 * time.Second // heartbeats show sooner that a connection is silent
	tokenPart        = 8                // one in so many proxies of a large fleet is asked for tokens
	tokenPeers       = 3                // proxies asked for tokens at once
	seedTimeout      = time.Second
)

// peers exchanges heartbeats, configuration and tokens with the other proxies.
type peers struct {
	proxy     *Proxy
	transport *peer.Transport

	mutex  sync.Mutex
	views  map[spool.VM]peerView
	probes map[uint64]chan *wire.ProbeAnswer
	last   uint64        // number of the newest probe
	beats  uint64        // rounds of heartbeats so far
	copied spool.Instant // when a copy of the servers' entries was last asked for
	asked  spool.Instant // when the configuration was last asked for
}

// peerView is the newest heartbeat of another proxy.
type peerView struct {
	heard spool.Instant
	sent  int64 // by the other proxy's clock
}

func newPeers(proxy *Proxy) *peers {
	peers := &peers{proxy: proxy, views: map[spool.VM]peerView{}, probes: map[uint64]chan *wire.ProbeAnswer{}}
	dial := sock.Dialer(sock.DefaultSilence, sock.WithoutKeepAlive())
	guard := peer.NewPlainGuard(proxy.settings.VM, dial)
	peers.transport = peer.New(proxy.settings.VM, guard, proxy.members.address, peer.WithLogger(proxy.logger),
		peer.WithKeepAlive(sessionKeepAlive), peer.WithObserver(proxy.metrics.PeerBytes))
	return peers
}

// run sends heartbeats until the context ends.
func (peers *peers) run(ctx context.Context, listener net.Listener) {
	peers.transport.Listen(listener, peers)
	go peers.meetSeeds(ctx)
	stop := peers.proxy.timers.Every(roster.NearPeriod, spool.TimerFunc(func(spool.Instant) { peers.pulse() }))
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

// pulse sends the heartbeats that are due: all within the region, and to other regions one in several.
func (peers *peers) pulse() {
	proxy := peers.proxy
	now := proxy.timers.Now()
	peers.mutex.Lock()
	peers.beats++
	beat := peers.beats
	peers.mutex.Unlock()
	const farBeats = uint64(roster.FarPeriod / roster.NearPeriod)
	introducing := now.Sub(proxy.started) < introduction
	for i, member := range proxy.members.all() {
		if introducing || proxy.near(member.Domain) || (beat+uint64(i))%farBeats == 0 {
			peers.beat(member.VM, now, introducing || beat%introduceBeats == 0)
		}
	}
}

// tellRegion sends heartbeats to the region at once, since they tell of a newer configuration or newer servers' entries.
func (peers *peers) tellRegion() { peers.tell(peers.proxy.near) }

// announce tells all other proxies at once that this one leaves.
func (peers *peers) announce() { peers.tell(func(spool.Domain) bool { return true }) }

// tell sends heartbeats to the proxies of some failure domains.
func (peers *peers) tell(told func(domain spool.Domain) bool) {
	now := peers.proxy.timers.Now()
	for _, member := range peers.proxy.members.all() {
		if told(member.Domain) {
			peers.beat(member.VM, now, false)
		}
	}
}

// beat sends one heartbeat; whole ones name this proxy's address and failure domain.
func (peers *peers) beat(to spool.VM, now spool.Instant, whole bool) {
	proxy := peers.proxy
	confirmed := proxy.reader.lastConfirmed()
	proxy.mutex.Lock()
	pulse := &wire.Pulse{
		Leaving: proxy.draining, SentNanos: int64(now), Revision: proxy.revision, StoreReached: proxy.storeReached,
		CopyVersion: uint64(proxy.servers.Changed()), ConfirmedAgeNanos: int64(now.Sub(confirmed)),
	}
	proxy.mutex.Unlock()
	if whole {
		pulse.Domain, pulse.Address = string(proxy.settings.Domain), proxy.settings.Peers
	}
	peers.mutex.Lock()
	view, known := peers.views[to]
	peers.mutex.Unlock()
	if known {
		pulse.EchoNanos = view.sent
		pulse.HoldNanos = int64(now.Sub(view.heard))
	}
	peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_Pulse{Pulse: pulse}})
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
			peers.proxy.applyConfig(decodeObject(object))
		}
	case *wire.Envelope_CopyRequest:
		peers.sendCopy(from, body.CopyRequest)
	case *wire.Envelope_CopyAnswer:
		peers.applyCopy(body.CopyAnswer)
	case *wire.Envelope_TokenRequest:
		tokens := peers.proxy.limiter.spare(spool.Team(body.TokenRequest.Team), body.TokenRequest.Tokens)
		if tokens > 0 {
			transfer := &wire.TokenTransfer{Team: body.TokenRequest.Team, Tokens: tokens}
			peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_TokenTransfer{TokenTransfer: transfer}})
		}
	case *wire.Envelope_TokenTransfer:
		peers.proxy.limiter.give(spool.Team(body.TokenTransfer.Team), body.TokenTransfer.Tokens)
	case *wire.Envelope_MarkRequest:
		go peers.proxy.marks.answer(from, body.MarkRequest)
	case *wire.Envelope_MarkAnswer:
		peers.proxy.marks.receive(body.MarkAnswer)
	case *wire.Envelope_ProbeRequest:
		go peers.answerProbe(from, body.ProbeRequest)
	case *wire.Envelope_ProbeAnswer:
		peers.deliverProbe(body.ProbeAnswer)
	}
}

// Serve handles a stream to a backend server: a connection to copy, or one to lend.
func (peers *peers) Serve(from spool.VM, conn net.Conn) {
	defer func() { _ = conn.Close() }() // either side has ended
	stream := lend.NewStream(conn)
	if err := stream.SetReadDeadline(time.Now().Add(relayTimeout)); err != nil {
		return
	}
	frame, err := stream.Read()
	if err != nil {
		return
	}
	switch body := frame.Body.(type) {
	case *wire.StreamFrame_RelayRequest:
		peers.proxy.relayed(stream, body.RelayRequest.Address)
	case *wire.StreamFrame_LoanRequest:
		peers.proxy.lender.Serve(from, stream, body.LoanRequest)
	}
}

func (peers *peers) receivePulse(from spool.VM, pulse *wire.Pulse) {
	proxy := peers.proxy
	now := proxy.timers.Now()
	sent := spool.Instant(0) // no later than when the pulse was sent, by this VM's clock
	if pulse.EchoNanos != 0 {
		sent = spool.Instant(pulse.EchoNanos).Add(time.Duration(pulse.HoldNanos))
	}
	first := proxy.members.heard(from, pulse, now)
	peers.mutex.Lock()
	peers.views[from] = peerView{heard: now, sent: pulse.SentNanos}
	peers.mutex.Unlock()
	if first {
		peers.beat(from, now, true)
	}
	if sent != 0 {
		proxy.reader.confirm(sent.Add(-time.Duration(pulse.ConfirmedAgeNanos)))
	}
	if version := proxy.servers.Version(); version > 0 && spool.Version(pulse.CopyVersion) > version && proxy.members.near(from) {
		peers.requestCopy(from, version, now)
	}
	if pulse.Revision > proxy.currentRevision() && peers.mayAsk(&peers.asked, now) {
		peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}}})
	}
}

func (peers *peers) sendConfig(to spool.VM) {
	object, known := peers.proxy.configCopy()
	if !known {
		return
	}
	answer := &wire.ConfigAnswer{Objects: []*wire.ObjectCopy{encodeObject(object)}}
	peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: answer}})
}

// askTokens asks a few live proxies for tokens of a team, near ones first; the larger the fleet, the less each has.
func (peers *peers) askTokens(team spool.Team, tokens float64) {
	live := peers.proxy.members.liveMembers()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	asked := max(tokenPeers, len(live)/tokenPart)
	if len(live) > tokenPart*tokenPeers {
		slices.SortStableFunc(live, func(left, right roster.Member) int {
			return boolRank(peers.proxy.near(right.Domain)) - boolRank(peers.proxy.near(left.Domain))
		})
	}
	for _, to := range live[:min(len(live), asked)] {
		request := &wire.TokenRequest{Team: string(team), Tokens: tokens}
		peers.transport.Send(to.VM, &wire.Envelope{Body: &wire.Envelope_TokenRequest{TokenRequest: request}})
	}
}

// Supervises tells if this proxy looks after a group; those in the region of its primary come first.
func (peers *peers) Supervises(group spool.Group, primary spool.Domain) bool {
	region := peers.proxy.settings.Regions[primary]
	return peers.proxy.members.supervises(string(group), func(domain spool.Domain) bool {
		return peers.proxy.settings.Regions[domain] == region
	})
}

// Operator returns the team that connections of the proxy itself name.
func (peers *peers) Operator() spool.Team { return peers.proxy.operator() }

// Settled tells if the registry shows all servers that run.
func (peers *peers) Settled() bool {
	return peers.proxy.reader.steady() && peers.proxy.servers.Settled()
}
