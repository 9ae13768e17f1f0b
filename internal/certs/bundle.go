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

// Files holds the paths of PEM files; Authority may be empty if no peer certificate is verified.
type Files struct {
	Certificate string
	PrivateKey  string
	Authority   string
}

// Bundle holds a certificate, its private key and the certificate authority that peers are verified against.
type Bundle struct {
	files Files

	mutex       sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	modTime     time.Time
}

// Load reads the files and fails if one is missing or invalid, or if the private key does not match the certificate.
func Load(files Files) (*Bundle, error) {
	bundle := &Bundle{files: files}
	return bundle, bundle.Reload()
}

// Watch reloads the files when they change; on an error it calls failed and the last valid certificate stays in use.
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

// Reload reads the files again; on an error the current certificate stays in use.
func (bundle *Bundle) Reload() error {
	modTime := bundle.latestModTime()
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
	bundle.modTime = modTime
	return nil
}

// LoadAuthority reads the certificates that peers are verified against and fails if the file contains none.
func LoadAuthority(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("authority %s holds no certificate", path)
	}
	return pool, nil
}

func (bundle *Bundle) changed() bool {
	newest := bundle.latestModTime()
	bundle.mutex.Lock()
	defer bundle.mutex.Unlock()
	return newest.After(bundle.modTime)
}

func (bundle *Bundle) latestModTime() time.Time {
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

// ServerConfig returns the TLS configuration for connections from callers, which present no certificate.
func (bundle *Bundle) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := bundle.current()
			return certificate, nil
		},
	}
}

// PeerServerConfig returns the TLS configuration for connections from other proxies, whose certificates are verified.
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

// PeerClientConfig returns the TLS configuration for a connection to the proxy on vm, whose certificate must name the VM.
func (bundle *Bundle) PeerClientConfig(vm spool.VM) *tls.Config {
	certificate, authority := bundle.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authority,
		ServerName:   string(vm),
	}
}

// AnyPeerClientConfig returns the TLS configuration for a connection to a proxy whose VM is unknown; it accepts every
// certificate that the authority signed, whichever VM it names.
func (bundle *Bundle) AnyPeerClientConfig() *tls.Config {
	certificate, authority := bundle.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*certificate},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain without the name
		VerifyConnection: func(state tls.ConnectionState) error {
			options := x509.VerifyOptions{Roots: authority}
			_, err := state.PeerCertificates[0].Verify(options)
			return err
		},
	}
}

// Identity returns the VM named in the verified certificate of the peer; it fails if there is none.
func Identity(state tls.ConnectionState) (spool.VM, error) {
	if len(state.PeerCertificates) == 0 {
		return "", eris.New("peer presented no certificate")
	}
	names := state.PeerCertificates[0].DNSNames
	if len(names) == 0 {
		return "", eris.New("peer certificate names no VM")
	}
	return spool.VM(names[0]), nil
}
