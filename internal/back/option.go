package back

import (
	"crypto/tls"
	"time"
)

const (
	defaultPreparedLimit = 256
	defaultCancelTimeout = time.Second
	applicationName      = "corianderspool"
)

// Credentials are the credentials with which the proxy logs in to backend servers.
type Credentials struct {
	User     string
	Password string
	Database string
	TLS      *tls.Config // nil connects without TLS
}

type settings struct {
	preparedLimit int
	cancelTimeout time.Duration
}

// Option configures a connection.
type Option func(*settings)

// WithPreparedLimit sets how many prepared statements a connection keeps on its server.
func WithPreparedLimit(limit int) Option {
	return func(settings *settings) { settings.preparedLimit = limit }
}

// WithCancelTimeout sets how long a canceled cycle may still take before its connection is closed.
func WithCancelTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.cancelTimeout = timeout }
}

func newSettings(options []Option) settings {
	settings := settings{preparedLimit: defaultPreparedLimit, cancelTimeout: defaultCancelTimeout}
	for _, option := range options {
		option(&settings)
	}
	return settings
}
