package certs_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/pkg/spool"
)

func issue(c *qt.C, dir string, vm spool.VM, lifetime time.Duration) certs.Files {
	issuer, err := certs.NewIssuer(lifetime)
	c.Assert(err, qt.IsNil)
	files, err := issuer.Issue(dir, vm)
	c.Assert(err, qt.IsNil)
	return files
}

// handshake performs a TLS handshake between two bundles and returns the VM that the accepting side identified.
func handshake(c *qt.C, accepting, dialing *certs.Bundle, to spool.VM) (spool.VM, error) {
	left, right := net.Pipe()
	server := tls.Server(left, accepting.PeerServerConfig())
	client := tls.Client(right, dialing.PeerClientConfig(to))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		err := client.HandshakeContext(ctx)
		if err != nil {
			_ = right.Close()
		}
		failed <- err
	}()
	err := server.HandshakeContext(ctx)
	_ = left.Close()
	if clientErr := <-failed; clientErr != nil {
		return "", clientErr
	}
	if err != nil {
		return "", err
	}
	vm, err := certs.Identity(server.ConnectionState())
	c.Assert(err, qt.IsNil)
	return vm, nil
}

func TestIdentityComesFromVerifiedCertificate(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	issuer, err := certs.NewIssuer(time.Hour)
	c.Assert(err, qt.IsNil)
	bundles := map[spool.VM]*certs.Bundle{}
	for _, vm := range []spool.VM{"vm1", "vm2"} {
		files, err := issuer.Issue(dir, vm)
		c.Assert(err, qt.IsNil)
		bundles[vm], err = certs.Load(files)
		c.Assert(err, qt.IsNil)
	}
	vm, err := handshake(c, bundles["vm1"], bundles["vm2"], "vm1")
	c.Assert(err, qt.IsNil)
	c.Assert(vm, qt.Equals, spool.VM("vm2"))
	_, err = handshake(c, bundles["vm1"], bundles["vm2"], "vm3")
	c.Assert(err, qt.ErrorMatches, ".*not vm3.*")
}

func TestExpiredCertificateIsRefused(t *testing.T) {
	c := qt.New(t)
	bundle, err := certs.Load(issue(c, c.TempDir(), "vm1", -time.Minute))
	c.Assert(err, qt.IsNil)
	_, err = handshake(c, bundle, bundle, "vm1")
	c.Assert(err, qt.ErrorMatches, ".*expired.*")
}

func TestReloadLoadsNewFilesAndKeepsOldOnFailure(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	bundle, err := certs.Load(issue(c, dir, "vm1", time.Hour))
	c.Assert(err, qt.IsNil)
	files := issue(c, dir, "vm1", time.Hour) // signed by another authority
	fresh, err := certs.Load(files)
	c.Assert(err, qt.IsNil)
	_, err = handshake(c, bundle, fresh, "vm1")
	c.Assert(err, qt.IsNotNil)
	c.Assert(bundle.Reload(), qt.IsNil)
	_, err = handshake(c, bundle, fresh, "vm1")
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(files.PrivateKey, []byte("broken"), 0o600), qt.IsNil)
	c.Assert(bundle.Reload(), qt.ErrorMatches, "load certificate .*")
	_, err = handshake(c, bundle, fresh, "vm1")
	c.Assert(err, qt.IsNil)
}
