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
	"corianderspool.example/spool/internal/fake/plain"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

const (
	patience = 10 * time.Second
	password = "tsubame"
)

var route = spool.RouteSpec{Name: "renewals", Group: "kyushu", Idempotent: []string{"put "}}

// bed is a front before one stand-in server.
type bed struct {
	*qt.C
	gate    *plain.Dispatcher
	front   *front.Front
	server  *regsrv.Server
	address string
}

func newBed(t testing.TB, options ...front.Option) *bed {
	c := qt.New(t)
	server := regsrv.New(regsrv.WithPrimary(1), regsrv.WithSlots(64), regsrv.WithConnections(300))
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(server.Close)
	dispatcher := &plain.Dispatcher{
		Server:      spool.ServerSpec{Name: "one", Address: server.Address()},
		Credentials: back.Credentials{User: "spool", Password: "spool"},
		Logins: map[string]spool.Login{
			"counter": {Route: route, Verifier: verifier(c, password)},
			"anyone":  {Route: spool.RouteSpec{Name: "renewals", Group: "kyushu", Open: true}},
		},
	}
	bed := &bed{C: c, gate: dispatcher, server: server, front: front.New(dispatcher, options...)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	bed.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- bed.front.Serve(listener) }()
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_ = bed.front.Drain(ctx)
		c.Assert(<-served, qt.IsNil)
	})
	return bed
}

func verifier(c *qt.C, password string) string {
	client, err := scram.SHA256.NewClient("", password, "")
	c.Assert(err, qt.IsNil)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	c.Assert(err, qt.IsNil)
	return formatVerifier(stored)
}

func (bed *bed) url(key, password string) string {
	return "postgres://" + url.UserPassword(key, password).String() + "@" + bed.address + "/renewals?sslmode=disable"
}

func (bed *bed) connect(parameters ...string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	config, err := pgx.ParseConfig(bed.url("counter", password))
	bed.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(parameters); i += 2 {
		config.RuntimeParams[parameters[i]] = parameters[i+1]
	}
	client, err := pgx.ConnectConfig(ctx, config)
	bed.Assert(err, qt.IsNil)
	bed.Cleanup(func() { _ = client.Close(context.Background()) })
	return client
}

func (bed *bed) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	bed.Cleanup(cancel)
	return ctx
}

func (bed *bed) eventually(condition func() bool) {
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		bed.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

func failure(err error) *pgconn.PgError {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused
	}
	return &pgconn.PgError{}
}
