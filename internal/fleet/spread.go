package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/bulk"
	"corianderspool.example/spool/internal/core/spread"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// configRequestInterval is the time between requests for the whole configuration to proxies of an older version, and between
// answers to one of them.
const configRequestInterval = time.Second

// maxRemoteAnnounced is the number of proxies of each other region that learn of a new configuration at once.
const maxRemoteAnnounced = 2

var distanceNames = map[spread.Distance]string{
	spread.SameDomain: "same_domain", spread.SameRegion: "same_region", spread.OtherRegion: "other_region",
}

// newDistributor returns the distributor of the configuration.
func (proxy *Proxy) newDistributor() *bulk.Distributor {
	kind, name := proxy.adapter.ConfigObject()
	return bulk.New(kind, name, proxy.timers, configPeers{proxy}, proxy.applyFetched, bulk.WithLogger(proxy.logger),
		bulk.WithObserver(peerObserver{proxy}), bulk.WithBandwidth(proxy.settings.LinkBandwidth))
}

// applyFetched puts a configuration that another proxy sent in force; it implements bulk.ApplyFunc.
func (proxy *Proxy) applyFetched(object spool.Object, version uint64, remote bool) error {
	switch result, err := proxy.putConfig(object); {
	case err != nil:
		return err
	case result == configOvertaken:
		return nil
	case result == configApplied && remote:
		proxy.peers.notifyRegion() // no proxy of the region had it before
	case result == configApplied:
		proxy.peers.forwardUpdate()
	}
	if current := proxy.currentRevision(); current < version {
		return eris.Errorf("version %d in force after version %d was announced", current, version)
	}
	return nil
}

// announceConfig announces a configuration that this proxy read from the store to the region, and to few proxies of each other
// region: the store may refuse all proxies there, and their heartbeats from here are up to two seconds apart.
func (peers *peers) announceConfig() {
	peers.notifyRegion()
	now := peers.proxy.timers.Now()
	for _, vm := range peers.proxy.members.remoteRelays(now) {
		peers.sendHeartbeat(vm, peers.newHeartbeat(vm, now))
	}
}

// remoteRelays returns up to maxRemoteAnnounced relays of each other region.
func (members *members) remoteRelays(now spool.Instant) []spool.VM {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	relays := members.roster.DomainRelays(now)
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	chosen := map[string]int{}
	return slices.DeleteFunc(relays, func(vm spool.VM) bool {
		member := members.roster.Get(vm)
		region := members.proxy.settings.Regions[member.Domain]
		chosen[region]++
		return members.roster.SameRegion(member) || chosen[region] > maxRemoteAnnounced
	})
}

// configPeers gives the distributor access to the other proxies; it implements bulk.Peers.
type configPeers struct{ proxy *Proxy }

// Open opens a data stream.
func (peers configPeers) Open(ctx context.Context, vm spool.VM) (net.Conn, error) {
	return peers.proxy.peers.transport.Open(ctx, vm)
}

// Locate returns the failure domain of a proxy and how far away it is.
func (peers configPeers) Locate(vm spool.VM) (spool.Domain, spread.Distance) {
	return peers.proxy.members.locate(vm)
}

// RequestWhole requests the configuration from a proxy of an older version.
func (peers configPeers) RequestWhole(vm spool.VM) {
	control := peers.proxy.peers
	if !control.allowRequest(&control.configRequested, configRequestInterval, peers.proxy.timers.Now()) {
		return
	}
	control.transport.Send(vm, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}}})
}

// locate returns the failure domain of a proxy and how far away it is.
func (members *members) locate(vm spool.VM) (spool.Domain, spread.Distance) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	switch {
	case member == nil:
		return "", spread.OtherRegion
	case member.Domain == members.proxy.settings.Domain:
		return member.Domain, spread.SameDomain
	case members.roster.SameRegion(member):
		return member.Domain, spread.SameRegion
	}
	return member.Domain, spread.OtherRegion
}

// peerObserver counts what is sent to other proxies; it implements peer.Observer and bulk.Observer.
type peerObserver struct{ proxy *Proxy }

// Sent counts a control message.
func (observer peerObserver) Sent(to spool.VM, kind string, bytes int) {
	observer.proxy.metrics.AddPeerBytes(bytes)
	observer.count(to, kind, bytes)
}

// Dropped counts a control message that found no room.
func (observer peerObserver) Dropped(_ spool.VM, kind string) {
	observer.proxy.metrics.CountDroppedMessage(kind)
}

// Fetched counts a fetch.
func (observer peerObserver) Fetched(outcome string) {
	observer.proxy.metrics.CountTransfer("fetch", outcome)
}

// Served counts a transfer to another proxy.
func (observer peerObserver) Served(to spool.VM, outcome string, bytes int) {
	observer.proxy.metrics.CountTransfer("serve", outcome)
	observer.count(to, "bulk", bytes)
}

func (observer peerObserver) count(to spool.VM, kind string, bytes int) {
	_, distance := observer.proxy.members.locate(to)
	observer.proxy.metrics.CountPeerMessage(kind, distanceNames[distance], bytes)
}

func (proxy *Proxy) spreadSample() metric.SpreadSample {
	return metric.SpreadSample(proxy.spread.Sample())
}
