package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/quota"
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
	introduceBeats   = 16               // rounds between heartbeats that name the address, for proxies that missed it
	sessionKeepAlive = 15 * time.Second // heartbeats show sooner that a connection is silent
	tokenPeers       = 3                // proxies asked for tokens at once
	seedTimeout      = time.Second
	introduceRounds  = 2               // in a row, since not all proxies are due in each
	sizePause        = 5 * time.Second // between questions about a larger fleet, which may count proxies that are gone
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
	named  spool.Instant // when proxies that a digest told of were last asked for
	sized  spool.Instant // when a larger fleet than the known one was last asked for
}

// peerView is the newest heartbeat of another proxy.
type peerView struct {
	heard spool.Instant
	sent  int64 // by the other proxy's clock
}

func newPeers(proxy *Proxy) *peers {
	peers := &peers{proxy: proxy, views: map[spool.VM]peerView{}, probes: map[uint64]chan *wire.ProbeAnswer{}}
	dial := sock.Dialer(sock.DefaultUserTimeout, sock.WithoutKeepAlive())
	authenticator := peer.NewPlainAuthenticator(proxy.settings.VM, dial)
	peers.transport = peer.New(proxy.settings.VM, authenticator, proxy.members.address, peer.WithLogger(proxy.logger),
		peer.WithKeepAlive(sessionKeepAlive), peer.WithObserver(proxy.metrics.AddPeerBytes))
	return peers
}

// run sends heartbeats until the context ends.
func (peers *peers) run(ctx context.Context, listener net.Listener) {
	peers.transport.Listen(listener, peers)
	go peers.meetSeeds(ctx)
	stop := peers.proxy.timers.Every(roster.RoundInterval, spool.TimerFunc(func(spool.Instant) { peers.pulse() }))
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
			event.Log(peers.proxy.logger, event.SeedUnreachable, zap.String("Address", address), event.Cause(err))
			continue
		}
		peers.proxy.members.add(spool.Member{VM: vm, Address: address})
	}
}

// pulse sends the heartbeats that are due.
func (peers *peers) pulse() {
	proxy := peers.proxy
	now := proxy.timers.Now()
	peers.mutex.Lock()
	peers.beats++
	beat := peers.beats
	peers.mutex.Unlock()
	introducing := now.Sub(proxy.started) < introduction
	proxy.members.settle(now)
	links, relaying := proxy.members.links(beat, introducing, now)
	for _, link := range links {
		pulse := peers.newPulse(link.VM, now)
		pulse.AskedScope, pulse.AskedHash, pulse.Relaying = uint32(link.Scope), link.Hash, relaying
		if introducing || beat%introduceBeats < introduceRounds {
			peers.sign(pulse)
		}
		peers.sendPulse(link.VM, pulse)
	}
}

// tellRegion sends heartbeats to the region at once, since they tell of a newer configuration or newer servers' entries.
func (peers *peers) tellRegion() { peers.tell(peers.proxy.members.near) }

// announce tells all other proxies at once that this one leaves.
func (peers *peers) announce() { peers.tell(func(spool.VM) bool { return true }) }

// passOn tells the proxies that this one passes news on to; in a small fleet the reader has told them itself.
func (peers *peers) passOn() {
	if peers.proxy.members.relayed() {
		peers.tellRegion()
	}
}

// tell sends heartbeats to some of the proxies that are told of news.
func (peers *peers) tell(told func(vm spool.VM) bool) {
	now := peers.proxy.timers.Now()
	for _, vm := range peers.proxy.members.passing(now) {
		if told(vm) {
			peers.sendPulse(vm, peers.newPulse(vm, now))
		}
	}
}

// introduce sends a heartbeat that names this proxy's address and failure domain.
func (peers *peers) introduce(to spool.VM, now spool.Instant, scope roster.Scope) {
	pulse := peers.newPulse(to, now)
	peers.sign(pulse)
	pulse.AskedScope = uint32(scope)
	peers.sendPulse(to, pulse)
}

// sign names this proxy's address and failure domain in a heartbeat.
func (peers *peers) sign(pulse *wire.Pulse) {
	pulse.Domain, pulse.Address = string(peers.proxy.settings.Domain), peers.proxy.settings.Peers
}

// newPulse returns a heartbeat for a proxy.
func (peers *peers) newPulse(to spool.VM, now spool.Instant) *wire.Pulse {
	proxy := peers.proxy
	confirmed := proxy.reader.lastConfirmed()
	proxy.mutex.Lock()
	pulse := &wire.Pulse{
		Leaving: proxy.draining, SentNanos: int64(now), Revision: proxy.revision, StoreReached: proxy.storeReached,
		CopyVersion: uint64(proxy.servers.ContentVersion()), ConfirmedAgeNanos: int64(now.Sub(confirmed)),
	}
	proxy.mutex.Unlock()
	pulse.Fleet = uint32(proxy.members.setSelf(pulse.Leaving, pulse.StoreReached))
	peers.mutex.Lock()
	view, known := peers.views[to]
	peers.mutex.Unlock()
	if known {
		pulse.EchoNanos = view.sent
		pulse.HoldNanos = int64(now.Sub(view.heard))
	}
	return pulse
}

func (peers *peers) sendPulse(to spool.VM, pulse *wire.Pulse) {
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
			if peers.proxy.applyConfig(decodeObject(object)) {
				peers.passOn()
			}
		}
	case *wire.Envelope_MemberRequest:
		peers.sendMembers(from, body.MemberRequest)
	case *wire.Envelope_MemberAnswer:
		peers.applyMembers(body.MemberAnswer)
	case *wire.Envelope_CopyRequest:
		peers.sendCopy(from, body.CopyRequest)
	case *wire.Envelope_CopyAnswer:
		peers.applyCopy(body.CopyAnswer)
	case *wire.Envelope_TokenRequest:
		tokens := peers.proxy.limiter.spare(from, spool.Team(body.TokenRequest.Team), body.TokenRequest.Tokens)
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
	sent := sentAt(pulse, now)
	heard := now
	if sent != 0 {
		heard = sent
	}
	first := proxy.members.heard(from, pulse, heard)
	peers.mutex.Lock()
	peers.views[from] = peerView{heard: now, sent: pulse.SentNanos}
	peers.mutex.Unlock()
	if pulse.AskedScope != 0 {
		peers.answerDigest(from, pulse, first, now)
	} else if first {
		peers.introduce(from, now, roster.ScopeNone)
	}
	if sent != 0 {
		proxy.reader.confirm(sent.Add(-time.Duration(pulse.ConfirmedAgeNanos)))
		if pulse.Digest != nil {
			peers.applyDigest(from, pulse.Digest, sent, now)
		}
	}
	if int(pulse.Fleet) > proxy.members.size() && peers.mayAsk(&peers.sized, sizePause, now) {
		peers.introduce(from, now, roster.ScopeFleet)
	}
	if version := proxy.servers.Version(); version > 0 && spool.Version(pulse.CopyVersion) > version && proxy.members.near(from) {
		peers.requestCopy(from, version, now)
	}
	if pulse.Revision > proxy.currentRevision() && peers.mayAsk(&peers.asked, copyPause, now) {
		peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}}})
	}
}

// sentAt returns a time no later than when a heartbeat was sent, by this VM's clock, or zero if that is not known.
func sentAt(pulse *wire.Pulse, now spool.Instant) spool.Instant {
	if pulse.EchoNanos == 0 {
		return 0
	}
	sent := spool.Instant(pulse.EchoNanos).Add(time.Duration(pulse.HoldNanos))
	if sent > now {
		return 0 // it answers another VM of this one's name
	}
	return sent
}

// applyDigest takes over which proxies live and asks for those that are not known.
func (peers *peers) applyDigest(from spool.VM, digest *wire.LiveDigest, sent, now spool.Instant) {
	if unknown := peers.proxy.members.apply(from, digest, sent, now); len(unknown) > 0 {
		peers.requestMembers(from, unknown, now)
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

// askTokens asks other proxies for tokens of a team: some live ones where all mint, else the team's home in the region, which
// asks the others if it has none, and all homes if that brought nothing.
func (peers *peers) askTokens(team spool.Team, tokens float64, issuers []quota.Proxy, again bool) {
	request := &wire.TokenRequest{Team: string(team), Tokens: tokens}
	for _, to := range peers.tokenSources(issuers, again) {
		peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_TokenRequest{TokenRequest: request}})
	}
}

func (peers *peers) tokenSources(issuers []quota.Proxy, again bool) []spool.VM {
	var near, all []spool.VM
	if len(issuers) == 0 {
		for _, member := range peers.proxy.members.liveMembers() {
			all = append(all, member.VM)
		}
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:min(len(all), tokenPeers)]
	}
	for _, issuer := range issuers {
		if issuer.VM == peers.proxy.settings.VM {
			continue
		}
		all = append(all, issuer.VM)
		if issuer.Region == peers.proxy.settings.Region {
			near = append(near, issuer.VM)
		}
	}
	if again || len(near) == 0 {
		return all
	}
	return near
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
func (peers *peers) RegistryComplete() bool {
	return peers.proxy.reader.steady() && peers.proxy.servers.Stable()
}
