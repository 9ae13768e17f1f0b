package front_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

func TestLogin(t *testing.T) {
	harness := newHarness(t)
	for _, example := range []struct {
		name, url, code string
	}{
		{"valid password", harness.url("counter", password), ""},
		{"wrong password", harness.url("counter", "x"), spool.CodeBadKey},
		{"unknown key", harness.url("nobody", password), spool.CodeBadKey},
		{"unknown route", "postgres://counter:x@" + harness.address + "/other?sslmode=disable", spool.CodeUnknownRoute},
		{"open route", "postgres://anyone@" + harness.address + "/renewals?sslmode=disable", ""},
		{"valid token", harness.url("counter", password) + "&corianderspool.token=kyushu/1/2", ""},
		{"malformed token", harness.url("counter", password) + "&corianderspool.token=kyushu", "22023"},
		{"token of another group", harness.url("counter", password) + "&corianderspool.token=fukuoka/1/2", "22023"},
		{"valid max age", harness.url("counter", password) + "&corianderspool.max_age=250ms", ""},
		{"bad max age", harness.url("counter", password) + "&corianderspool.max_age=250", "22023"},
		{"search_path", harness.url("counter", password) + "&search_path=a", spool.CodeUnsupported},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			client, err := pgx.Connect(harness.context(), example.url)
			c.Assert(pgError(err).Code, qt.Equals, example.code)
			if example.code != "" {
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(client.Ping(harness.context()), qt.IsNil)
			c.Assert(client.Close(harness.context()), qt.IsNil)
		})
	}
	c := qt.New(t)
	for _, login := range harness.server.Activity().Logins {
		c.Assert(login.User, qt.Equals, "spool")
	}
}

// firstResponse connects, sends bytes and returns the first message of the front.
func (harness *harness) firstResponse(bytes []byte) (pgproto3.BackendMessage, net.Conn) {
	socket, err := net.Dial("tcp", harness.address)
	harness.Assert(err, qt.IsNil)
	harness.Cleanup(func() { _ = socket.Close() })
	harness.Assert(socket.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = socket.Write(bytes)
	harness.Assert(err, qt.IsNil)
	message, err := pgproto3.NewFrontend(socket, socket).Receive()
	harness.Assert(err, qt.IsNil)
	return message, socket
}

func TestStartupLimits(t *testing.T) {
	harness := newHarness(t, front.WithStartupTimeout(50*time.Millisecond), front.WithStartupLimit(2))
	for name, bytes := range map[string][]byte{
		"oversized":    binary.BigEndian.AppendUint32(nil, 1<<30),
		"undersized":   {0, 0, 0, 5, 1},
		"old version":  {0, 0, 0, 8, 0, 2, 0, 0},
		"unterminated": {0, 0, 0, 9, 0, 3, 0, 0, 'x'},
		"no user":      {0, 0, 0, 9, 0, 3, 0, 0, 0},
		"empty":        nil,
		"truncated":    {0, 0, 0, 50, 0, 3},
	} {
		message, socket := harness.firstResponse(bytes)
		refused, ok := message.(*pgproto3.ErrorResponse)
		harness.Assert(ok, qt.IsTrue, qt.Commentf(name))
		harness.Assert(refused.Severity, qt.Equals, "FATAL")
		_ = socket.Close()
	}
	var sockets []net.Conn
	for range 2 {
		socket, err := net.Dial("tcp", harness.address)
		harness.Assert(err, qt.IsNil)
		sockets = append(sockets, socket)
	}
	message, _ := harness.firstResponse(nil)
	harness.Assert(message.(*pgproto3.ErrorResponse).Code, qt.Equals, spool.CodeNoSlot)
	for _, socket := range sockets {
		_ = socket.Close()
	}
	harness.eventually(func() bool {
		_, err := pgx.Connect(harness.context(), harness.url("counter", password))
		return err == nil
	})
}

func TestEncryptionRequests(t *testing.T) {
	harness := newHarness(t)
	socket, err := net.Dial("tcp", harness.address)
	harness.Assert(err, qt.IsNil)
	defer func() { _ = socket.Close() }()
	harness.Assert(socket.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	for _, request := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		bytes, err := request.Encode(nil)
		harness.Assert(err, qt.IsNil)
		_, err = socket.Write(bytes)
		harness.Assert(err, qt.IsNil)
		var answer [1]byte
		_, err = io.ReadFull(socket, answer[:])
		harness.Assert(err, qt.IsNil)
		harness.Assert(answer[0], qt.Equals, byte('N'))
	}
	smuggled := append([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f}, 0, 0, 0, 9)
	message, _ := harness.firstResponse(smuggled)
	harness.Assert(message.(*pgproto3.ErrorResponse).Code, qt.Equals, spool.CodeProtocol)
}

func TestTLS(t *testing.T) {
	certificate, pool := selfSigned(qt.New(t))
	harness := newHarness(t, front.WithTLS(&tls.Config{Certificates: []tls.Certificate{certificate}}))
	config, err := pgx.ParseConfig(harness.url("counter", password))
	harness.Assert(err, qt.IsNil)
	config.TLSConfig = &tls.Config{RootCAs: pool, ServerName: "proxy"}
	client, err := pgx.ConnectConfig(harness.context(), config)
	harness.Assert(err, qt.IsNil)
	_, err = client.Exec(harness.context(), "PUT $1 $2", "a", "b")
	harness.Assert(err, qt.IsNil)
	harness.Assert(client.Close(harness.context()), qt.IsNil)
}

func selfSigned(c *qt.C) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{"proxy"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
	bytes, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	c.Assert(err, qt.IsNil)
	parsed, err := x509.ParseCertificate(bytes)
	c.Assert(err, qt.IsNil)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{bytes}, PrivateKey: key}, pool
}
