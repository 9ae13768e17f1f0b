package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const reloadInterval = 30 * time.Second

// Files are the paths of PEM files; Authority may be empty where nobody else's certificate is checked.
type Files struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// Bundle is a certificate, its private key and the authority that peers are checked against.
type Bundle struct {
	files Files

	mutex       sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	stamp       time.Time
}

// Load reads the files and fails if one is missing or does not fit the others.
func Load(files Files) (*Bundle, error) {
	bundle := &Bundle{files: files}
	return bundle, bundle.Reload()
}

// Watch reloads the files when they change; a broken file keeps the last good certificate and is told to failed.
func (bundle *Bundle) Watch(timers spool.Timers, failed func(error)) (stop func()) {
	return timers.Every(reloadInterval, spool.TimerFunc(func(spool.Instant) {
		if !bundle.changed() {
			return
		}
		if err := bundle.Reload(); err != nil {
			failed(err)
		}
	}))
}

// Reload reads the files again; on failure the certificate in use stays.
func (bundle *Bundle) Reload() error {
	stamp := bundle.newest()
	certificate, err := tls.LoadX509KeyPair(bundle.files.Certificate, bundle.files.PrivateKey)
	if err != nil {
		return eris.Wrapf(err, "load certificate %s", bundle.files.Certificate)
	}
	authority := x509.NewCertPool()
	if bundle.files.Authority != "" {
		if authority, err = LoadAuthority(bundle.files.Authority); err != nil {
			return err
		}
	}
	bundle.mutex.Lock()
	defer bundle.mutex.Unlock()
	bundle.certificate = &certificate
	bundle.authority = authority
	bundle.stamp = stamp
	return nil
}

// LoadAuthority reads the certificates that others are checked against and fails if there are none.
func LoadAuthority(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("authority %s holds no certificate", path)
	}
	return pool, nil
}

func (bundle *Bundle) changed() bool {
	newest := bundle.newest()
	bundle.mutex.Lock()
	defer bundle.mutex.Unlock()
	return newest.After(bundle.stamp)
}

func (bundle *Bundle) newest() time.Time {
	newest := time.Time{}
	for _, path := range []string{bundle.files.Certificate, bundle.files.PrivateKey, bundle.files.Authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (bundle *Bundle) current() (*tls.Certificate, *x509.CertPool) {
	bundle.mutex.Lock()
	defer bundle.mutex.Unlock()
	return bundle.certificate, bundle.authority
}

// ServerConfig returns the TLS settings towards callers, who show no certificate.
func (bundle *Bundle) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := bundle.current()
			return certificate, nil
		},
	}
}

// PeerServerConfig returns the TLS settings for connections from other proxies, whose certificates are checked.
func (bundle *Bundle) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := bundle.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
			}, nil
		},
	}
}

// PeerClientConfig returns the TLS settings for a connection to the proxy on vm, whose certificate must name it.
func (bundle *Bundle) PeerClientConfig(vm spool.VM) *tls.Config {
	certificate, authority := bundle.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authority,
		ServerName:   string(vm),
	}
}

// AnyPeerClientConfig returns the TLS settings for a connection to a proxy whose VM is not known; any name of the authority will do.
func (bundle *Bundle) AnyPeerClientConfig() *tls.Config {
	certificate, authority := bundle.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*certificate},
		InsecureSkipVerify: true, // VerifyConnection checks the chain without the name
		VerifyConnection: func(state tls.ConnectionState) error {
			options := x509.VerifyOptions{Roots: authority}
			_, err := state.PeerCertificates[0].Verify(options)
			return err
		},
	}
}

// Identity returns the VM that the other side's checked certificate names.
func Identity(state tls.ConnectionState) (spool.VM, error) {
	if len(state.PeerCertificates) == 0 {
		return "", eris.New("the other side showed no certificate")
	}
	names := state.PeerCertificates[0].DNSNames
	if len(names) == 0 {
		return "", eris.New("the other side's certificate names no VM")
	}
	return spool.VM(names[0]), nil
}
