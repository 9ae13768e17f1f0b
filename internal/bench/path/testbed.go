package path

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/fake/stub"
	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

const (
	serverConnections = 1000
	urlPrefix         = "postgres://spool:spool@"
	urlSuffix         = "/open?sslmode=disable"
)

// Testbed runs a fake backend server and a proxy front end in this process; its dispatcher routes all queries to that server.
type Testbed struct {
	server         *regsrv.Server
	front          *front.Front
	callerListener net.Listener
}

// NewTestbed starts the server and the proxy on loopback addresses.
func NewTestbed() (*Testbed, error) {
	server := regsrv.New(
		regsrv.WithPrimary(1), regsrv.WithSlots(serverConnections), regsrv.WithConnectionLimit(serverConnections))
	if err := server.Start(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		server.Close()
		return nil, eris.Wrap(err, "listen for callers")
	}
	dispatcher := &stub.Dispatcher{
		Server:      spool.ServerSpec{Name: "server", Address: server.Address()},
		Credentials: back.Credentials{User: "spool", Password: "spool"},
		Logins:      map[string]spool.Login{"spool": {Route: spool.RouteSpec{Name: "open", Open: true}}},
	}
	testbed := &Testbed{server: server, front: front.New(dispatcher), callerListener: listener}
	go func() { _ = testbed.front.Serve(listener) }()
	return testbed, nil
}

// Direct returns the connection string of the server.
func (testbed *Testbed) Direct() string { return urlPrefix + testbed.server.Address() + urlSuffix }

// Proxied returns the connection string of the proxy.
func (testbed *Testbed) Proxied() string {
	return urlPrefix + testbed.callerListener.Addr().String() + urlSuffix
}

// Close stops the proxy and the server.
func (testbed *Testbed) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = testbed.front.Drain(ctx)
	testbed.server.Close()
}
