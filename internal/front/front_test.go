package front_test

import (
	"context"
	"errors"
	"net"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/xdg-go/scram"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/fake/stub"
	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

const (
	testTimeout = 10 * time.Second
	password    = "tsubame"
)

var route = spool.RouteSpec{Name: "renewals", Group: "kyushu", Idempotent: []string{"put "}}

// harness runs a front with one simulated server.
type harness struct {
	*qt.C
	dispatcher *stub.Dispatcher
	front      *front.Front
	server     *regsrv.Server
	address    string
}

func newHarness(t testing.TB, options ...front.Option) *harness {
	c := qt.New(t)
	server := regsrv.New(regsrv.WithPrimary(1), regsrv.WithSlots(64), regsrv.WithConnectionLimit(300))
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(server.Close)
	dispatcher := &stub.Dispatcher{
		Server:      spool.ServerSpec{Name: "one", Address: server.Address()},
		Credentials: back.Credentials{User: "spool", Password: "spool"},
		Logins: map[string]spool.Login{
			"counter": {Route: route, Verifier: verifier(c, password)},
			"anyone":  {Route: spool.RouteSpec{Name: "renewals", Group: "kyushu", Open: true}},
		},
	}
	harness := &harness{C: c, dispatcher: dispatcher, server: server, front: front.New(dispatcher, options...)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	harness.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- harness.front.Serve(listener) }()
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = harness.front.Drain(ctx)
		c.Assert(<-served, qt.IsNil)
	})
	return harness
}

func verifier(c *qt.C, password string) string {
	client, err := scram.SHA256.NewClient("", password, "")
	c.Assert(err, qt.IsNil)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	c.Assert(err, qt.IsNil)
	return encodeVerifier(stored)
}

func (harness *harness) url(key, password string) string {
	return "postgres://" + url.UserPassword(key, password).String() + "@" + harness.address + "/renewals?sslmode=disable"
}

func (harness *harness) connect(parameters ...string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	config, err := pgx.ParseConfig(harness.url("counter", password))
	harness.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(parameters); i += 2 {
		config.RuntimeParams[parameters[i]] = parameters[i+1]
	}
	client, err := pgx.ConnectConfig(ctx, config)
	harness.Assert(err, qt.IsNil)
	harness.Cleanup(func() { _ = client.Close(context.Background()) })
	return client
}

func (harness *harness) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	harness.Cleanup(cancel)
	return ctx
}

func (harness *harness) eventually(condition func() bool) {
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		harness.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

func pgError(err error) *pgconn.PgError {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused
	}
	return &pgconn.PgError{}
}
