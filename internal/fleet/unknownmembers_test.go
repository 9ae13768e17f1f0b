package fleet

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// listen returns a proxy that knows no others and only answers messages.
func listen(t *testing.T, vm spool.VM, domain spool.Domain) *Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	settings := spool.FleetSettings{
		VM: vm, Domain: domain, Region: "r1", Regions: map[spool.Domain]string{"z1": "r1", "z2": "r1"}, MemoryBytes: 1 << 30,
		Peers: listener.Addr().String(),
	}
	proxy := New(settings, platform.New(settings, nil), clock.Real{}, zap.NewNop())
	proxy.peers.transport.Listen(listener, guardedHandler{proxy.peers, proxy.logger})
	t.Cleanup(proxy.peers.transport.Close)
	return proxy
}

// learn makes a proxy know others, and so many more of its failure domain that it uses relays.
func (proxy *Proxy) learn(others ...*Proxy) {
	for _, other := range others {
		settings := &other.settings
		proxy.members.addMembers(spool.Member{VM: settings.VM, Domain: settings.Domain, Address: settings.Peers})
	}
	for i := range roster.MeshLimit {
		vm := spool.VM(fmt.Sprintf("vm%d", i))
		proxy.members.addMembers(spool.Member{VM: vm, Domain: proxy.settings.Domain, Address: "127.0.0.1:1"})
	}
}

// TestProxyThatOthersDoNotKnowGetsAnswers guards against failovers that wait until all proxies know each other: a supervisor that has read
// the registry asks relays that the others have not heard of yet, and those cannot answer a proxy without its address.
func TestProxyThatOthersDoNotKnowGetsAnswers(t *testing.T) {
	asker, other := listen(t, "asker", "z1"), listen(t, "other", "z2")
	asker.learn(other)
	request := &wire.ProbeRequest{Group: "g1", KnownOnly: true, HearAll: true}
	qt.Assert(t, asker.peers.gatherAnswers(request, []spool.VM{"other"}, 1, 5*time.Second), qt.HasLen, 1)
}

// TestRelayIsToldOfMembersThatItDoesNotKnow guards against failovers that wait until a relay has read the registry: it asks the proxies of
// its failure domain on behalf of a supervisor that knows more of them.
func TestRelayIsToldOfMembersThatItDoesNotKnow(t *testing.T) {
	asker, relay, member := listen(t, "asker", "z1"), listen(t, "relay", "z2"), listen(t, "member", "z2")
	asker.learn(relay, member)
	_, known := relay.members.address("member")
	qt.Assert(t, known, qt.IsFalse)
	for deadline := time.Now().Add(10 * time.Second); !known && time.Now().Before(deadline); {
		asker.peers.PollCommits("g1", "a")
		_, known = relay.members.address("member")
	}
	qt.Assert(t, known, qt.IsTrue)
}
