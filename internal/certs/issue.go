package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Issuer is a certificate authority that issues certificates to VMs.
type Issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	lifetime    time.Duration
}

// NewIssuer creates a certificate authority; its certificates are valid for lifetime.
func NewIssuer(lifetime time.Duration) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key of certificate authority")
	}
	template := newTemplate("corianderspool authority", lifetime)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign certificate of certificate authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse certificate of certificate authority")
	}
	return &Issuer{certificate: certificate, key: key, lifetime: lifetime}, nil
}

// Issue writes <vm>.crt, <vm>.key and ca.crt to a directory and returns their paths.
func (issuer *Issuer) Issue(dir string, vm spool.VM) (Files, error) {
	files := Files{
		Certificate: filepath.Join(dir, string(vm)+".crt"),
		PrivateKey:  filepath.Join(dir, string(vm)+".key"),
		Authority:   filepath.Join(dir, "ca.crt"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrapf(err, "generate key of %s", vm)
	}
	template := newTemplate(string(vm), issuer.lifetime)
	template.DNSNames = []string{string(vm)}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.certificate, &key.PublicKey, issuer.key)
	if err != nil {
		return files, eris.Wrapf(err, "sign certificate of %s", vm)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, eris.Wrapf(err, "encode key of %s", vm)
	}
	return files, writeFiles(files, der, keyDER, issuer.certificate.Raw)
}

func writeFiles(files Files, certificate, key, authority []byte) error {
	blocks := []struct {
		path, kind string
		der        []byte
	}{
		{files.Certificate, "CERTIFICATE", certificate},
		{files.PrivateKey, "PRIVATE KEY", key},
		{files.Authority, "CERTIFICATE", authority},
	}
	for _, block := range blocks {
		text := pem.EncodeToMemory(&pem.Block{Type: block.kind, Bytes: block.der})
		if err := os.WriteFile(block.path, text, 0o600); err != nil {
			return eris.Wrap(err, "write certificate file")
		}
	}
	return nil
}

func newTemplate(name string, lifetime time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(lifetime),
	}
}
