package fleet_test

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// olderProxy stands in for a proxy that sends and answers only requests for the whole configuration.
type olderProxy struct {
	transport *peer.Transport
	config    *wire.ObjectCopy // sent on request
	requests  atomic.Int32
	answers   atomic.Int32
}

func (older *olderProxy) Receive(from spool.VM, envelope *wire.Envelope) {
	switch envelope.Body.(type) {
	case *wire.Envelope_ConfigRequest:
		if older.requests.Add(1) > 1 {
			answer := &wire.ConfigAnswer{Objects: []*wire.ObjectCopy{older.config}}
			older.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: answer}})
		}
	case *wire.Envelope_ConfigAnswer:
		older.answers.Add(1)
	}
}

func (older *olderProxy) Serve(_ spool.VM, conn net.Conn) { _ = conn.Close() }

// TestOlderProxiesExchangeConfigurations guards against fleets whose proxies of both versions do not learn configurations from
// each other, and against answers in full to each of the requests that an older proxy repeats every 100 ms.
func TestOlderProxiesExchangeConfigurations(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 1)
	cluster.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	older := &olderProxy{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	body, err := json.Marshal(map[string]any{"version": 9, "tenants": []any{map[string]any{"name": "red", "api-keys": []string{"key-red"}, "rate-per-s": 100, "burst": 100}}, "routes": []any{map[string]any{"database": "new", "type": "primary", "service": "g1"}}})
	c.Assert(err, qt.IsNil)
	older.config = &wire.ObjectCopy{Kind: "config", Name: "main", Version: 1 << 40, Body: body}
	resolve := func(spool.VM) (string, bool) { return cluster.settings[0].Peers, true }
	older.transport = peer.New("older", peer.NewPlainAuthenticator("older", sock.Dialer(sock.DefaultUserTimeout)), resolve)
	older.transport.Listen(listener, older)
	t.Cleanup(older.transport.Close)
	pulse := &wire.Pulse{Domain: "z1", Address: listener.Addr().String(), Revision: 9, SentNanos: 1}
	began := time.Now()
	for time.Since(began) < 4*time.Second {
		older.transport.Send("vm0", &wire.Envelope{Body: &wire.Envelope_Pulse{Pulse: pulse}})
		older.transport.Send("vm0", &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: &wire.ConfigRequest{}}})
		time.Sleep(100 * time.Millisecond)
	}
	answers, requests := older.answers.Load(), older.requests.Load()
	c.Check(answers >= 3 && answers <= 6, qt.IsTrue, qt.Commentf("%d answers", answers))
	c.Check(requests >= 2 && requests <= 4, qt.IsTrue, qt.Commentf("%d requests", requests))
	_, answer := cluster.open(0, "new", "key-red")
	c.Check(answer, qt.Equals, "READY I -")
}
