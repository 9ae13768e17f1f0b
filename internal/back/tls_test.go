package back_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

const sslRequestBytes = 8

// startTLSProxy starts a proxy that terminates TLS in front of a server and returns its address.
func startTLSProxy(c *qt.C, bundle *certs.Bundle, server string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTLS(conn, bundle, server)
		}
	}()
	return listener.Addr().String()
}

func serveTLS(conn net.Conn, bundle *certs.Bundle, server string) {
	defer func() { _ = conn.Close() }()
	if _, err := io.ReadFull(conn, make([]byte, sslRequestBytes)); err != nil {
		return
	}
	if _, err := conn.Write([]byte("S")); err != nil {
		return
	}
	encrypted := tls.Server(conn, bundle.ServerConfig())
	plain, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer func() { _ = plain.Close() }()
	go func() {
		_, _ = io.Copy(plain, encrypted)
		_ = plain.Close()
	}()
	_, _ = io.Copy(encrypted, plain)
}

func TestServerCertificateIsVerified(t *testing.T) {
	c := qt.New(t)
	server := regsrv.New(regsrv.WithLogin("spool", "backend"), regsrv.WithPrimary(1))
	c.Assert(server.Start(), qt.IsNil)
	defer server.Close()
	issuer, err := certs.NewIssuer(time.Hour)
	c.Assert(err, qt.IsNil)
	files, err := issuer.Issue(c.TempDir(), "s1")
	c.Assert(err, qt.IsNil)
	bundle, err := certs.Load(files)
	c.Assert(err, qt.IsNil)
	pool, err := certs.LoadAuthority(files.Authority)
	c.Assert(err, qt.IsNil)
	spec := spool.ServerSpec{Name: "s1", Address: startTLSProxy(c, bundle, server.Address())}
	dial := func(config *tls.Config) error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		conn, err := back.Dial(ctx, spec, back.Credentials{User: "spool", Password: "backend", TLS: config})
		if err == nil {
			conn.Close()
		}
		return err
	}
	c.Assert(dial(&tls.Config{RootCAs: pool}), qt.IsNil)
	c.Assert(dial(&tls.Config{}), qt.ErrorMatches, "(?s).*unknown authority.*")
}
