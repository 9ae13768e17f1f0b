package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/pkg/spool"
)

// Authenticator opens and accepts connections and identifies the VM at the other end.
type Authenticator interface {
	// Dial connects to the proxy on a VM and fails if another VM answers.
	Dial(ctx context.Context, address string, to spool.VM) (net.Conn, error)
	// Accept authenticates an accepted connection and returns the VM at the other end.
	Accept(conn net.Conn) (net.Conn, spool.VM, error)
	// Identify returns the VM that listens at an address.
	Identify(ctx context.Context, address string) (spool.VM, error)
}

// tlsAuthenticator verifies certificates on both sides.
type tlsAuthenticator struct{ bundle *certs.Bundle }

// NewTLSAuthenticator returns an authenticator that verifies certificates on both sides.
func NewTLSAuthenticator(bundle *certs.Bundle) Authenticator { return tlsAuthenticator{bundle: bundle} }

// Dial connects to the proxy on a VM, whose certificate must name it.
func (tlsAuthenticator tlsAuthenticator) Dial(ctx context.Context, address string, to spool.VM) (net.Conn, error) {
	dialer := tls.Dialer{Config: tlsAuthenticator.bundle.PeerClientConfig(to)}
	return dialer.DialContext(ctx, "tcp", address)
}

// Accept performs the TLS handshake.
func (tlsAuthenticator tlsAuthenticator) Accept(conn net.Conn) (net.Conn, spool.VM, error) {
	secured := tls.Server(conn, tlsAuthenticator.bundle.PeerServerConfig())
	if err := secured.Handshake(); err != nil {
		return nil, "", err
	}
	from, err := certs.Identity(secured.ConnectionState())
	return secured, from, err
}

// Identify returns the VM that the certificate at an address names.
func (tlsAuthenticator tlsAuthenticator) Identify(ctx context.Context, address string) (spool.VM, error) {
	dialer := tls.Dialer{Config: tlsAuthenticator.bundle.AnyPeerClientConfig()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "dial %s", address)
	}
	defer func() { _ = conn.Close() }()
	return certs.Identity(conn.(*tls.Conn).ConnectionState())
}

// maxNameBytes is the limit for the name of a VM on a plain connection.
const maxNameBytes = 256

// plainAuthenticator trusts the network: both sides send their names without proof.
type plainAuthenticator struct {
	self spool.VM
	dial spool.DialFunc
}

// NewPlainAuthenticator returns an authenticator for a network that only proxies can reach.
func NewPlainAuthenticator(self spool.VM, dial spool.DialFunc) Authenticator {
	return plainAuthenticator{self: self, dial: dial}
}

// Dial connects and fails if another VM answers than the one expected.
func (plainAuthenticator plainAuthenticator) Dial(ctx context.Context, address string, to spool.VM) (net.Conn, error) {
	conn, found, err := plainAuthenticator.exchangeNames(ctx, address)
	if err != nil {
		return nil, err
	}
	if found != to {
		_ = conn.Close()
		return nil, eris.Errorf("peer is %s, expected %s", found, to)
	}
	return conn, nil
}

// Identify returns the VM that answers at an address.
func (plainAuthenticator plainAuthenticator) Identify(ctx context.Context, address string) (spool.VM, error) {
	conn, found, err := plainAuthenticator.exchangeNames(ctx, address)
	if err != nil {
		return "", err
	}
	return found, conn.Close()
}

func (plainAuthenticator plainAuthenticator) exchangeNames(ctx context.Context, address string) (net.Conn, spool.VM, error) {
	conn, err := plainAuthenticator.dial(ctx, address)
	if err != nil {
		return nil, "", eris.Wrapf(err, "dial %s", address)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, as the next call does
	if _, err := io.WriteString(conn, string(plainAuthenticator.self)+"\n"); err != nil {
		_ = conn.Close()
		return nil, "", eris.Wrapf(err, "exchange names with %s", address)
	}
	found, err := readName(conn)
	if err != nil {
		_ = conn.Close()
		return nil, "", eris.Wrapf(err, "exchange names with %s", address)
	}
	return conn, found, conn.SetDeadline(time.Time{})
}

// Accept receives the name of the other side and sends its own.
func (plainAuthenticator plainAuthenticator) Accept(conn net.Conn) (net.Conn, spool.VM, error) {
	from, err := readName(conn)
	if err != nil {
		return nil, "", err
	}
	_, err = io.WriteString(conn, string(plainAuthenticator.self)+"\n")
	return conn, from, err
}

// readName reads a line byte by byte, so that no bytes after it are consumed.
func readName(conn net.Conn) (spool.VM, error) {
	reader := bufio.NewReaderSize(io.LimitReader(byteReader{conn}, maxNameBytes), 16)
	name, err := reader.ReadString('\n')
	if err != nil {
		return "", eris.Wrap(err, "read peer name")
	}
	return spool.VM(strings.TrimSuffix(name, "\n")), nil
}

// byteReader reads one byte at a time.
type byteReader struct{ io.Reader }

// Read reads at most one byte.
func (byteReader byteReader) Read(buffer []byte) (int, error) {
	return byteReader.Reader.Read(buffer[:min(1, len(buffer))])
}
