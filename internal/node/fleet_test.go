package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/xdg-go/scram"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/internal/fake/ports"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/node"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
)

const (
	secret       = "harbour"
	routeName    = "kyushu.renewals"
	keyName      = "kyushu.counter"
	startTimeout = 20 * time.Second
)

// fleet runs three proxies in three failure domains and one group of three servers, all in the test process.
type fleet struct {
	c        *qt.C
	platform *objsrv.Server
	client   *objapi.Client
	servers  []*regsrv.Server
	proxies  []*proxy
	manifest spool.Manifest
}

type proxy struct {
	settings config.Settings
	stop     context.CancelFunc
	done     chan error
}

func newFleet(t *testing.T, change func(*spool.Manifest)) *fleet {
	c := qt.New(t)
	fleet := &fleet{c: c, platform: objsrv.New()}
	c.Assert(fleet.platform.Start(), qt.IsNil)
	c.Cleanup(func() { _ = fleet.platform.Close() })
	fleet.client = objapi.New(fleet.platform.URL())
	fleet.startServers()
	fleet.manifest = fleet.newManifest()
	if change != nil {
		change(&fleet.manifest)
	}
	fleet.putManifest()
	fleet.startProxies()
	fleet.waitUntilServing()
	return fleet
}

func (fleet *fleet) startServers() {
	options := []regsrv.Option{regsrv.WithLogin("spool", "backend"), regsrv.WithSlots(3), regsrv.WithConnectionLimit(40)}
	primary := regsrv.New(append(options, regsrv.WithPrimary(1))...)
	fleet.c.Assert(primary.Start(), qt.IsNil)
	fleet.servers = append(fleet.servers, primary)
	for range 2 {
		replica := regsrv.New(append(options, regsrv.WithReplicaOf(primary.Address()), regsrv.WithLag(20*time.Millisecond))...)
		fleet.c.Assert(replica.Start(), qt.IsNil)
		fleet.servers = append(fleet.servers, replica)
	}
	fleet.c.Cleanup(func() {
		for _, server := range fleet.servers {
			server.Close()
		}
	})
}

func verifier(c *qt.C) string {
	client, err := scram.SHA256.NewClient("", secret, "")
	c.Assert(err, qt.IsNil)
	factors := scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096}
	stored, err := client.GetStoredCredentialsWithError(factors)
	c.Assert(err, qt.IsNil)
	return spool.Verifier{
		Iterations: 4096, Salt: []byte(factors.Salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey,
	}.String()
}

func (fleet *fleet) newManifest() spool.Manifest {
	group := spool.GroupSpec{Name: "kyushu.db", Dialect: "register"}
	for i, server := range fleet.servers {
		group.Servers = append(group.Servers, spool.ServerSpec{
			Name: spool.Server(fmt.Sprintf("kyushu.s%d", i+1)), Address: server.Address(),
			Domain: spool.Domain(fmt.Sprintf("d%d", i+1)), Slots: 3, Connections: 20,
		})
	}
	return spool.Manifest{
		Partner: "kyushu",
		Teams:   []spool.TeamSpec{{Name: "kyushu.office", RatePerSecond: 50000, Burst: 50000}},
		Keys:    []spool.KeySpec{{Name: keyName, Team: "kyushu.office", Verifier: verifier(fleet.c)}},
		Groups:  []spool.GroupSpec{group},
		Routes: []spool.RouteSpec{{
			Name: routeName, Group: group.Name, Teams: []spool.Team{"kyushu.office"},
			Reads: []string{"GET", "LIST"}, Timeout: spool.Duration(10 * time.Second),
		}},
	}
}

// putManifest writes the manifest to the platform, over any earlier version.
func (fleet *fleet) putManifest() {
	body, err := json.Marshal(fleet.manifest)
	fleet.c.Assert(err, qt.IsNil)
	object := spool.Object{Kind: spool.KindManifest, Name: "kyushu", Body: body}
	if old, err := fleet.client.Get(context.Background(), object.Kind, object.Name); err == nil {
		object.Version = old.Version
	}
	_, err = fleet.client.Put(context.Background(), object)
	fleet.c.Assert(err, qt.IsNil)
}

func (fleet *fleet) startProxies() {
	issuer, err := certs.NewIssuer(time.Hour)
	fleet.c.Assert(err, qt.IsNil)
	dir := fleet.c.TempDir()
	passwordFile := filepath.Join(dir, "password")
	fleet.c.Assert(os.WriteFile(passwordFile, []byte("backend\n"), 0o600), qt.IsNil)
	members := []spool.Member{}
	addresses, err := ports.FreeAddresses(9)
	fleet.c.Assert(err, qt.IsNil)
	for i := range 3 {
		vm := spool.VM(fmt.Sprintf("vm%d", i+1))
		files, err := issuer.Issue(dir, vm)
		fleet.c.Assert(err, qt.IsNil)
		settings := config.Settings{
			VM: vm, Domain: spool.Domain(fmt.Sprintf("d%d", i+1)),
			Caller: config.Caller{Address: addresses[3*i]},
			Peer: config.Peer{
				Address: addresses[3*i+1], Certificate: files.Certificate,
				PrivateKey: files.PrivateKey, Authority: files.Authority,
			},
			Operator:     config.Operator{Address: addresses[3*i+2]},
			Backend:      config.Backend{User: "spool", PasswordFile: passwordFile},
			DrainTimeout: spool.Duration(5 * time.Second),
		}
		members = append(members, spool.Member{VM: vm, Domain: settings.Domain, Address: settings.Peer.Address})
		fleet.proxies = append(fleet.proxies, &proxy{settings: settings})
	}
	fleet.platform.SetMembers(members)
	for _, proxy := range fleet.proxies {
		fleet.startProxy(proxy)
	}
}

func (fleet *fleet) startProxy(proxy *proxy) {
	logger := zap.NewNop()
	if os.Getenv("SPOOL_TEST_LOG") != "" {
		logger, _ = zap.NewDevelopment()
		logger = logger.With(zap.String("VM", string(proxy.settings.VM)))
	}
	running, err := node.New(proxy.settings, objapi.New(fleet.platform.URL(), objapi.WithWatchWait(time.Second)), logger)
	fleet.c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	proxy.stop = stop
	proxy.done = make(chan error, 1)
	go func() { proxy.done <- running.Run(ctx) }()
	fleet.c.Cleanup(stop)
}

func (fleet *fleet) connect(proxy int, parameters ...string) (*pgx.Conn, error) {
	address := fleet.proxies[proxy].settings.Caller.Address
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", keyName, secret, address, routeName))
	fleet.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(parameters); i += 2 {
		config.RuntimeParams[parameters[i]] = parameters[i+1]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

func (fleet *fleet) mustConnect(proxy int, parameters ...string) *pgx.Conn {
	conn, err := fleet.connect(proxy, parameters...)
	fleet.c.Assert(err, qt.IsNil)
	fleet.c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (fleet *fleet) waitUntilServing() {
	deadline := time.Now().Add(startTimeout)
	for i := range fleet.proxies {
		for {
			conn, err := fleet.connect(i)
			if err == nil {
				_, err = conn.Exec(context.Background(), "GET nothing")
				_ = conn.Close(context.Background())
			}
			if err == nil {
				break
			}
			fleet.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("proxy %d: %v", i, err))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func getValue(conn *pgx.Conn, key string) (string, error) {
	var value string
	err := conn.QueryRow(context.Background(), "GET $1", key).Scan(&value)
	return value, err
}
