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

// Authenticator opens and accepts connections and tells which VM is at the other end.
type Authenticator interface {
	// Dial connects to the proxy on a VM.
	Dial(ctx context.Context, address string, to spool.VM) (net.Conn, error)
	// Accept completes an accepted connection.
	Accept(conn net.Conn) (net.Conn, spool.VM, error)
	// Identify returns the VM that listens at an address.
	Identify(ctx context.Context, address string) (spool.VM, error)
}

// tlsGuard checks certificates on both sides.
type tlsGuard struct{ bundle *certs.Bundle }

// NewTLSAuthenticator returns a guard that checks certificates on both sides.
func NewTLSAuthenticator(bundle *certs.Bundle) Authenticator { return tlsGuard{bundle: bundle} }

// Dial connects to the proxy on a VM, whose certificate must name it.
func (tlsGuard tlsGuard) Dial(ctx context.Context, address string, to spool.VM) (net.Conn, error) {
	dialer := tls.Dialer{Config: tlsGuard.bundle.PeerClientConfig(to)}
	return dialer.DialContext(ctx, "tcp", address)
}

// Accept completes the handshake.
func (tlsGuard tlsGuard) Accept(conn net.Conn) (net.Conn, spool.VM, error) {
	secured := tls.Server(conn, tlsGuard.bundle.PeerServerConfig())
	if err := secured.Handshake(); err != nil {
		return nil, "", err
	}
	from, err := certs.Identity(secured.ConnectionState())
	return secured, from, err
}

// Identify returns the VM that the certificate at an address names.
func (tlsGuard tlsGuard) Identify(ctx context.Context, address string) (spool.VM, error) {
	dialer := tls.Dialer{Config: tlsGuard.bundle.AnyPeerClientConfig()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", eris.Wrapf(err, "dial %s", address)
	}
	defer func() { _ = conn.Close() }()
	return certs.Identity(conn.(*tls.Conn).ConnectionState())
}

// maxNameBytes bounds the name of a VM on a plain connection.
const maxNameBytes = 256

// plainGuard trusts the network: both sides say their names.
type plainGuard struct {
	self spool.VM
	dial spool.DialFunc
}

// NewPlainAuthenticator returns a guard for a network that only proxies reach.
func NewPlainAuthenticator(self spool.VM, dial spool.DialFunc) Authenticator {
	return plainGuard{self: self, dial: dial}
}

// Dial connects and fails if another VM answers than the one expected.
func (plainGuard plainGuard) Dial(ctx context.Context, address string, to spool.VM) (net.Conn, error) {
	conn, found, err := plainGuard.meet(ctx, address)
	if err != nil {
		return nil, err
	}
	if found != to {
		_ = conn.Close() // a stranger
		return nil, eris.Errorf("%s is at the address of %s", found, to)
	}
	return conn, nil
}

// Identify returns the VM that answers at an address.
func (plainGuard plainGuard) Identify(ctx context.Context, address string) (spool.VM, error) {
	conn, found, err := plainGuard.meet(ctx, address)
	if err != nil {
		return "", err
	}
	return found, conn.Close()
}

func (plainGuard plainGuard) meet(ctx context.Context, address string) (net.Conn, spool.VM, error) {
	conn, err := plainGuard.dial(ctx, address)
	if err != nil {
		return nil, "", eris.Wrapf(err, "dial %s", address)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, as the next call does
	if _, err := io.WriteString(conn, string(plainGuard.self)+"\n"); err != nil {
		_ = conn.Close()
		return nil, "", eris.Wrapf(err, "greet %s", address)
	}
	found, err := readName(conn)
	if err != nil {
		_ = conn.Close()
		return nil, "", eris.Wrapf(err, "greet %s", address)
	}
	return conn, found, conn.SetDeadline(time.Time{})
}

// Accept exchanges names.
func (plainGuard plainGuard) Accept(conn net.Conn) (net.Conn, spool.VM, error) {
	from, err := readName(conn)
	if err != nil {
		return nil, "", err
	}
	_, err = io.WriteString(conn, string(plainGuard.self)+"\n")
	return conn, from, err
}

// readName reads a line byte by byte, so that nothing behind it is taken from the connection.
func readName(conn net.Conn) (spool.VM, error) {
	reader := bufio.NewReaderSize(io.LimitReader(byteReader{conn}, maxNameBytes), 16)
	name, err := reader.ReadString('\n')
	if err != nil {
		return "", eris.Wrap(err, "read a name")
	}
	return spool.VM(strings.TrimSuffix(name, "\n")), nil
}

// byteReader reads one byte at a time.
type byteReader struct{ io.Reader }

// Read reads at most one byte.
func (byteReader byteReader) Read(buffer []byte) (int, error) {
	return byteReader.Reader.Read(buffer[:min(1, len(buffer))])
}
