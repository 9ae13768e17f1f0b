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
	introductionPeriod  = 3 * time.Second  // after the start, while other proxies may still start: heartbeats go to all
	introduceInterval   = 16               // rounds between heartbeats with this proxy's address, for proxies that missed it
	sessionKeepAlive    = 15 * time.Second // heartbeats detect a dead connection sooner
	maxTokenPeers       = 3                // proxies asked for tokens in one request
	seedTimeout         = time.Second
	introduceRounds     = 2               // consecutive rounds, since a heartbeat is not due to every proxy in each
	sizeRequestInterval = 5 * time.Second // between digest requests to peers that report a larger fleet, which may count dead proxies
)

// peers exchanges heartbeats, configuration and tokens with the other proxies.
type peers struct {
	proxy     *Proxy
	transport *peer.Transport

	mutex           sync.Mutex
	heartbeats      map[spool.VM]receivedHeartbeat
	pendingProbes   map[uint64]chan *wire.ProbeAnswer
	lastSequence    uint64        // of the newest probe request
	rounds          uint64        // heartbeat rounds so far
	deltaRequest    singleRequest // for changes of the server entries
	configRequested spool.Instant // when the whole configuration was last requested
	membersRequest  singleRequest // for unknown proxies of a digest
	sizeRequested   spool.Instant // when a digest was last requested since a peer reported a larger fleet
	configAnswered  map[spool.VM]configAnswer
	bursts          burstGate // of heartbeats to the region
}

// receivedHeartbeat is the newest heartbeat of another proxy.
type receivedHeartbeat struct {
	received spool.Instant
	sent     int64 // by the other proxy's clock
}

func newPeers(proxy *Proxy) *peers {
	peers := &peers{proxy: proxy, heartbeats: map[spool.VM]receivedHeartbeat{}, pendingProbes: map[uint64]chan *wire.ProbeAnswer{}}
	peers.configAnswered = map[spool.VM]configAnswer{}
	dial := sock.Dialer(sock.DefaultUserTimeout, sock.WithoutKeepAlive())
	authenticator := peer.NewPlainAuthenticator(proxy.settings.VM, dial)
	peers.transport = peer.New(proxy.settings.VM, authenticator, proxy.members.address, peer.WithLogger(proxy.logger),
		peer.WithKeepAlive(sessionKeepAlive), peer.WithObserver(peerObserver{proxy}))
	return peers
}

// run accepts connections from other proxies and sends heartbeats until the context ends.
func (peers *peers) run(ctx context.Context, listener net.Listener) {
	peers.transport.Listen(listener, guardedHandler{peers, peers.proxy.logger})
	go peers.identifySeeds(ctx)
	stop := peers.proxy.timers.Every(roster.RoundInterval, spool.TimerFunc(func(spool.Instant) { peers.sendHeartbeats() }))
	<-ctx.Done()
	stop()
	peers.transport.Close()
}

// identifySeeds adds the proxies at the seed addresses, so that the fleet is discovered without the store.
func (peers *peers) identifySeeds(ctx context.Context) {
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
		peers.proxy.members.addMembers(spool.Member{VM: vm, Address: address})
	}
}

// sendHeartbeats sends the heartbeats that are due in this round.
func (peers *peers) sendHeartbeats() {
	proxy := peers.proxy
	now := proxy.timers.Now()
	peers.mutex.Lock()
	peers.rounds++
	round := peers.rounds
	peers.mutex.Unlock()
	introducing := now.Sub(proxy.started) < introductionPeriod
	proxy.members.finishSettling(now)
	targets, relaying := proxy.members.heartbeatTargets(round, introducing, now)
	for _, target := range targets {
		heartbeat := peers.newHeartbeat(target.VM, now)
		heartbeat.AskedScope, heartbeat.AskedHash, heartbeat.Relaying = uint32(target.Scope), target.Hash, relaying
		if introducing || round%introduceInterval < introduceRounds {
			peers.addIdentity(heartbeat)
		}
		peers.sendHeartbeat(target.VM, heartbeat)
	}
}

// notifyAll sends heartbeats to all proxies that get updates at once.
func (peers *peers) notifyAll() { peers.notify(func(spool.VM) bool { return true }) }

// forwardUpdate forwards an update to the region in a fleet with relays; in a small fleet the proxy that read it has notified
// all others itself.
func (peers *peers) forwardUpdate() {
	if peers.proxy.members.relayed() {
		peers.notifyRegion()
	}
}

// notify sends heartbeats to the selected ones among the proxies that get updates at once.
func (peers *peers) notify(selected func(vm spool.VM) bool) {
	now := peers.proxy.timers.Now()
	for _, vm := range peers.proxy.members.gossipTargets(now) {
		if selected(vm) {
			peers.sendHeartbeat(vm, peers.newHeartbeat(vm, now))
		}
	}
}

// introduce sends a heartbeat with this proxy's address and failure domain; it requests a digest of the scope.
func (peers *peers) introduce(to spool.VM, now spool.Instant, scope roster.Scope) {
	heartbeat := peers.newHeartbeat(to, now)
	peers.addIdentity(heartbeat)
	heartbeat.AskedScope = uint32(scope)
	peers.sendHeartbeat(to, heartbeat)
}

// addIdentity adds this proxy's address, failure domain and capacity to a heartbeat.
func (peers *peers) addIdentity(heartbeat *wire.Pulse) {
	settings := &peers.proxy.settings
	heartbeat.Domain, heartbeat.Address, heartbeat.Capacity = string(settings.Domain), settings.Peers, capacity(*settings)
}

// newHeartbeat returns a heartbeat for a proxy; it echoes the last one received from it.
func (peers *peers) newHeartbeat(to spool.VM, now spool.Instant) *wire.Pulse {
	proxy := peers.proxy
	confirmed := proxy.reader.lastConfirmed()
	proxy.mutex.Lock()
	heartbeat := &wire.Pulse{
		Leaving: proxy.draining, SentNanos: int64(now), Revision: proxy.revision, StoreReached: proxy.storeReached,
		CopyVersion: uint64(proxy.servers.ContentVersion()), ConfirmedAgeNanos: int64(now.Sub(confirmed)),
		StoreEra: uint64(proxy.adapter.Era()),
	}
	proxy.mutex.Unlock()
	proxy.evacuations.addTo(heartbeat)
	heartbeat.Fleet = uint32(proxy.members.setSelf(heartbeat.Leaving, heartbeat.StoreReached))
	peers.mutex.Lock()
	last, known := peers.heartbeats[to]
	peers.mutex.Unlock()
	if known {
		heartbeat.EchoNanos = last.sent
		heartbeat.HoldNanos = int64(now.Sub(last.received))
	}
	return heartbeat
}

func (peers *peers) sendHeartbeat(to spool.VM, heartbeat *wire.Pulse) {
	peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_Pulse{Pulse: heartbeat}})
}

// Receive handles a message from another proxy.
func (peers *peers) Receive(from spool.VM, envelope *wire.Envelope) {
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Pulse:
		peers.receiveHeartbeat(from, body.Pulse)
	case *wire.Envelope_ConfigRequest:
		peers.answerConfigRequest(from)
	case *wire.Envelope_ConfigAnswer:
		for _, object := range body.ConfigAnswer.Objects {
			if peers.proxy.applyConfig(decodeObject(object)) {
				peers.forwardUpdate()
			}
		}
	case *wire.Envelope_MemberRequest:
		peers.sendMembers(from, peers.proxy.members.lookUp(decodeEntries(body.MemberRequest.Domains)))
	case *wire.Envelope_MemberAnswer:
		peers.endRequest(&peers.membersRequest)
		peers.applyMembers(body.MemberAnswer)
	case *wire.Envelope_CopyRequest:
		peers.sendDelta(from, body.CopyRequest)
	case *wire.Envelope_CopyAnswer:
		peers.endRequest(&peers.deltaRequest)
		peers.applyDelta(body.CopyAnswer)
	case *wire.Envelope_TokenRequest:
		if body.TokenRequest.Server != "" {
			peers.proxy.warmup.answer(from, body.TokenRequest)
			return
		}
		granted := peers.proxy.limiter.grantTokens(from, spool.Team(body.TokenRequest.Team), decodeTokenRequest(body.TokenRequest))
		if granted > 0 {
			peers.sendTokens(from, spool.Team(body.TokenRequest.Team), granted)
		}
	case *wire.Envelope_TokenTransfer:
		if body.TokenTransfer.Server != "" {
			peers.proxy.warmup.credit(body.TokenTransfer)
			return
		}
		peers.proxy.limiter.addTokens(from, spool.Team(body.TokenTransfer.Team), body.TokenTransfer.Tokens)
	case *wire.Envelope_MarkRequest:
		go guardPeer(peers.proxy.logger, "message", from, func() {
			peers.proxy.watermarks.sendAnswer(from, body.MarkRequest)
		})
	case *wire.Envelope_MarkAnswer:
		peers.proxy.watermarks.applyAnswer(body.MarkAnswer)
	case *wire.Envelope_ProbeRequest:
		go guardPeer(peers.proxy.logger, "message", from, func() { peers.answerProbe(from, body.ProbeRequest) })
	case *wire.Envelope_ProbeAnswer:
		peers.deliverProbeAnswer(body.ProbeAnswer)
	}
}

// Serve handles a stream that another proxy opened: a tunnel to a backend server, a loan of a connection
// or a transfer of the configuration.
func (peers *peers) Serve(from spool.VM, conn net.Conn) {
	defer func() { _ = conn.Close() }() // either side has closed
	stream := lend.NewStream(conn)
	if err := stream.SetReadDeadline(time.Now().Add(tunnelTimeout)); err != nil {
		return
	}
	frame, err := stream.Read()
	if err != nil {
		return
	}
	switch body := frame.Body.(type) {
	case *wire.StreamFrame_RelayRequest:
		peers.proxy.serveTunnel(stream, body.RelayRequest.Address)
	case *wire.StreamFrame_LoanRequest:
		peers.proxy.lender.Serve(from, stream, body.LoanRequest)
	case *wire.StreamFrame_BulkRequest:
		peers.proxy.spread.Serve(from, stream, body.BulkRequest)
	}
}

func (peers *peers) receiveHeartbeat(from spool.VM, heartbeat *wire.Pulse) {
	proxy := peers.proxy
	now := proxy.timers.Now()
	proxy.eras.observeHeartbeat(from, heartbeat)
	sent := earliestSend(heartbeat, now)
	aliveAt := now
	if sent != 0 {
		aliveAt = sent
	}
	first := proxy.members.recordHeartbeat(from, heartbeat, aliveAt)
	peers.mutex.Lock()
	peers.heartbeats[from] = receivedHeartbeat{received: now, sent: heartbeat.SentNanos}
	peers.mutex.Unlock()
	if heartbeat.AskedScope != 0 {
		peers.answerDigest(from, heartbeat, first, now)
	} else if first {
		peers.introduce(from, now, roster.ScopeNone)
	}
	if sent != 0 {
		proxy.reader.confirm(sent.Add(-time.Duration(heartbeat.ConfirmedAgeNanos)))
		if heartbeat.Digest != nil {
			peers.applyDigest(from, heartbeat.Digest, sent, now)
		}
	}
	proxy.evacuations.receive(from, heartbeat, sent)
	if int(heartbeat.Fleet) > proxy.members.size() && peers.allowRequest(&peers.sizeRequested, sizeRequestInterval, now) {
		peers.introduce(from, now, roster.ScopeFleet)
	}
	if version := proxy.servers.Version(); version > 0 && spool.Version(heartbeat.CopyVersion) > version && proxy.members.inRegion(from) {
		peers.requestDelta(from, version, now)
	}
	proxy.spread.Announce(from, heartbeat.Revision)
}

// earliestSend returns a lower bound of the time when a heartbeat was sent, by this VM's clock, or zero if none is known.
func earliestSend(heartbeat *wire.Pulse, now spool.Instant) spool.Instant {
	if heartbeat.EchoNanos == 0 {
		return 0
	}
	sent := spool.Instant(heartbeat.EchoNanos).Add(time.Duration(heartbeat.HoldNanos))
	if sent > now {
		return 0 // the echo answers another VM with this one's name
	}
	return sent
}

// applyDigest updates which proxies are live and requests the members that are not known.
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

// requestTokens requests tokens of a team: from some live proxies if all issue tokens, else from the team's issuers in the
// region, which request tokens from the others if they have none; after a failed request the next issuer or all are asked.
func (peers *peers) requestTokens(team spool.Team, decision quota.Decision, issuers []quota.Proxy) {
	request := encodeTokenRequest(team, decision.TokensToRequest)
	for _, to := range peers.tokenSources(decision, issuers) {
		peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_TokenRequest{TokenRequest: request}})
	}
}

// sendTokens gives tokens of a team to another proxy.
func (peers *peers) sendTokens(to spool.VM, team spool.Team, tokens float64) {
	peers.transport.Send(to, encodeTransfer(team, tokens))
}

// tokenSources returns the proxies to request tokens from: issuers, or some live proxies if all issue tokens.
func (peers *peers) tokenSources(decision quota.Decision, issuers []quota.Proxy) []spool.VM {
	if len(issuers) > 0 {
		self := quota.Proxy{VM: peers.proxy.settings.VM, Region: peers.proxy.settings.Region}
		return decision.Sources(self, issuers, peers.transport.Reachable)
	}
	var live []spool.VM
	for _, member := range peers.proxy.members.liveMembers() {
		live = append(live, member.VM)
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), maxTokenPeers)]
}

// Supervises reports whether this proxy supervises a group; proxies in the region of its primary are preferred.
func (peers *peers) Supervises(group spool.Group, primary spool.Domain) bool {
	region := peers.proxy.settings.Regions[primary]
	return peers.proxy.members.supervises(string(group), func(domain spool.Domain) bool {
		return peers.proxy.settings.Regions[domain] == region
	})
}

// Operator returns the team under which the proxy opens its own connections to servers.
func (peers *peers) Operator() spool.Team { return peers.proxy.operator() }

// RefreshRegistry reads the registered servers from the store.
func (peers *peers) RefreshRegistry(ctx context.Context) error {
	return peers.proxy.servers.Refresh(ctx)
}

// RegistryComplete reports whether the registry shows all running servers.
func (peers *peers) RegistryComplete() bool {
	return peers.proxy.reader.stable() && peers.proxy.servers.Stable()
}
