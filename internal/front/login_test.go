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
	bed := newBed(t)
	for _, example := range []struct {
		name, url, code string
	}{
		{"right", bed.url("counter", password), ""},
		{"wrong secret", bed.url("counter", "x"), spool.CodeBadKey},
		{"unknown key", bed.url("nobody", password), spool.CodeBadKey},
		{"unknown route", "postgres://counter:x@" + bed.address + "/other?sslmode=disable", spool.CodeUnknownRoute},
		{"open route", "postgres://anyone@" + bed.address + "/renewals?sslmode=disable", ""},
		{"token", bed.url("counter", password) + "&corianderspool.token=kyushu/1/2", ""},
		{"bad token", bed.url("counter", password) + "&corianderspool.token=kyushu", "22023"},
		{"other group", bed.url("counter", password) + "&corianderspool.token=fukuoka/1/2", "22023"},
		{"age", bed.url("counter", password) + "&corianderspool.max_age=250ms", ""},
		{"bad age", bed.url("counter", password) + "&corianderspool.max_age=250", "22023"},
		{"search_path", bed.url("counter", password) + "&search_path=a", spool.CodeUnsupported},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			client, err := pgx.Connect(bed.context(), example.url)
			c.Assert(failure(err).Code, qt.Equals, example.code)
			if example.code != "" {
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(client.Ping(bed.context()), qt.IsNil)
			c.Assert(client.Close(bed.context()), qt.IsNil)
		})
	}
	c := qt.New(t)
	for _, login := range bed.server.Seen().Logins {
		c.Assert(login.User, qt.Equals, "spool")
	}
}

// first reads the first message after the caller sent bytes.
func (bed *bed) first(bytes []byte) (pgproto3.BackendMessage, net.Conn) {
	socket, err := net.Dial("tcp", bed.address)
	bed.Assert(err, qt.IsNil)
	bed.Cleanup(func() { _ = socket.Close() })
	bed.Assert(socket.SetDeadline(time.Now().Add(patience)), qt.IsNil)
	_, err = socket.Write(bytes)
	bed.Assert(err, qt.IsNil)
	message, err := pgproto3.NewFrontend(socket, socket).Receive()
	bed.Assert(err, qt.IsNil)
	return message, socket
}

func TestStartupIsBounded(t *testing.T) {
	bed := newBed(t, front.WithStartupTimeout(50*time.Millisecond), front.WithStartupLimit(2))
	for name, bytes := range map[string][]byte{
		"oversized":   binary.BigEndian.AppendUint32(nil, 1<<30),
		"undersized":  {0, 0, 0, 5, 1},
		"old version": {0, 0, 0, 8, 0, 2, 0, 0},
		"not text":    {0, 0, 0, 9, 0, 3, 0, 0, 'x'},
		"no user":     {0, 0, 0, 9, 0, 3, 0, 0, 0},
		"nothing":     nil,
		"half":        {0, 0, 0, 50, 0, 3},
	} {
		message, socket := bed.first(bytes)
		refused, ok := message.(*pgproto3.ErrorResponse)
		bed.Assert(ok, qt.IsTrue, qt.Commentf(name))
		bed.Assert(refused.Severity, qt.Equals, "FATAL")
		_ = socket.Close()
	}
	var sockets []net.Conn
	for range 2 {
		socket, err := net.Dial("tcp", bed.address)
		bed.Assert(err, qt.IsNil)
		sockets = append(sockets, socket)
	}
	message, _ := bed.first(nil)
	bed.Assert(message.(*pgproto3.ErrorResponse).Code, qt.Equals, spool.CodeNoSlot)
	for _, socket := range sockets {
		_ = socket.Close()
	}
	bed.eventually(func() bool {
		_, err := pgx.Connect(bed.context(), bed.url("counter", password))
		return err == nil
	})
}

func TestEncryptionRequests(t *testing.T) {
	bed := newBed(t)
	socket, err := net.Dial("tcp", bed.address)
	bed.Assert(err, qt.IsNil)
	defer func() { _ = socket.Close() }()
	bed.Assert(socket.SetDeadline(time.Now().Add(patience)), qt.IsNil)
	for _, request := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		bytes, err := request.Encode(nil)
		bed.Assert(err, qt.IsNil)
		_, err = socket.Write(bytes)
		bed.Assert(err, qt.IsNil)
		var answer [1]byte
		_, err = io.ReadFull(socket, answer[:])
		bed.Assert(err, qt.IsNil)
		bed.Assert(answer[0], qt.Equals, byte('N'))
	}
	smuggled := append([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f}, 0, 0, 0, 9)
	message, _ := bed.first(smuggled)
	bed.Assert(message.(*pgproto3.ErrorResponse).Code, qt.Equals, spool.CodeProtocol)
}

func TestTLS(t *testing.T) {
	certificate, pool := selfSigned(qt.New(t))
	bed := newBed(t, front.WithTLS(&tls.Config{Certificates: []tls.Certificate{certificate}}))
	config, err := pgx.ParseConfig(bed.url("counter", password))
	bed.Assert(err, qt.IsNil)
	config.TLSConfig = &tls.Config{RootCAs: pool, ServerName: "proxy"}
	client, err := pgx.ConnectConfig(bed.context(), config)
	bed.Assert(err, qt.IsNil)
	_, err = client.Exec(bed.context(), "PUT $1 $2", "a", "b")
	bed.Assert(err, qt.IsNil)
	bed.Assert(client.Close(bed.context()), qt.IsNil)
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
