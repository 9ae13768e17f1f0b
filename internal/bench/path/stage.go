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
	connection        = "postgres://spool:spool@"
	database          = "/open?sslmode=disable"
)

// Stage is a stand-in server and a proxy with a gate without decisions, in this process.
type Stage struct {
	server *regsrv.Server
	front  *front.Front
	caller net.Listener
}

// NewStage starts server and proxy.
func NewStage() (*Stage, error) {
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
	gate := &stub.Dispatcher{
		Server:      spool.ServerSpec{Name: "server", Address: server.Address()},
		Credentials: back.Credentials{User: "spool", Password: "spool"},
		Logins:      map[string]spool.Login{"spool": {Route: spool.RouteSpec{Name: "open", Open: true}}},
	}
	stage := &Stage{server: server, front: front.New(gate), caller: listener}
	go func() { _ = stage.front.Serve(listener) }()
	return stage, nil
}

// Direct returns the connection string of the server.
func (stage *Stage) Direct() string { return connection + stage.server.Address() + database }

// Proxied returns the connection string of the proxy.
func (stage *Stage) Proxied() string { return connection + stage.caller.Addr().String() + database }

// Close ends proxy and server.
func (stage *Stage) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = stage.front.Drain(ctx)
	stage.server.Close()
}
