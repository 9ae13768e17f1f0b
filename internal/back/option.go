package back

import (
	"crypto/tls"
	"time"
)

const (
	defaultPreparedLimit = 256
	defaultCancelWait    = time.Second
	applicationName      = "corianderspool"
)

// Credentials are the proxy's own login at backend servers.
type Credentials struct {
	User     string
	Password string
	Database string
	TLS      *tls.Config // nil connects without TLS
}

type settings struct {
	preparedLimit int
	cancelWait    time.Duration
}

// Option changes a setting of a connection.
type Option func(*settings)

// WithPreparedLimit bounds the prepared statements that a connection keeps on its server.
func WithPreparedLimit(limit int) Option {
	return func(settings *settings) { settings.preparedLimit = limit }
}

// WithCancelTimeout bounds the time that a canceled cycle may still take before its connection is closed.
func WithCancelTimeout(wait time.Duration) Option {
	return func(settings *settings) { settings.cancelWait = wait }
}

func newSettings(options []Option) settings {
	settings := settings{preparedLimit: defaultPreparedLimit, cancelWait: defaultCancelWait}
	for _, option := range options {
		option(&settings)
	}
	return settings
}
