package front

import (
	"crypto/tls"
	"time"
)

const (
	defaultStartupTimeout     = 10 * time.Second
	defaultWriteTimeout       = 5 * time.Minute
	defaultTransactionTimeout = 5 * time.Minute
	defaultKeepAlive          = 30 * time.Second
	defaultEndIdleGrace       = 20 * time.Millisecond
	defaultEndTimeout         = 1 * time.Second
	defaultMaxStartups        = 256
	defaultMaxMessageSize     = 4 << 20
	defaultMaxCycleSize       = 16 << 20
	defaultMaxStatements      = 4096
)

type settings struct {
	tls                *tls.Config
	startupTimeout     time.Duration
	writeTimeout       time.Duration
	transactionTimeout time.Duration
	keepAlive          time.Duration
	endIdleGrace       time.Duration // for a message in flight when an idle session is ended
	endTimeout         time.Duration // for an ending session to become idle between transactions
	maxStartups        int
	maxMessageSize     int
	maxCycleSize       int
	maxStatements      int
	observer           Observer
}

func defaultSettings() settings {
	return settings{
		startupTimeout:     defaultStartupTimeout,
		writeTimeout:       defaultWriteTimeout,
		transactionTimeout: defaultTransactionTimeout,
		keepAlive:          defaultKeepAlive,
		endIdleGrace:       defaultEndIdleGrace,
		endTimeout:         defaultEndTimeout,
		maxStartups:        defaultMaxStartups,
		maxMessageSize:     defaultMaxMessageSize,
		maxCycleSize:       defaultMaxCycleSize,
		maxStatements:      defaultMaxStatements,
		observer:           noopObserver{},
	}
}

// Option configures a Front.
type Option func(*settings)

// WithObserver sets the observer of refused logins and ended sessions.
func WithObserver(observer Observer) Option {
	return func(settings *settings) { settings.observer = observer }
}

// WithTLS accepts TLS connections from callers.
func WithTLS(config *tls.Config) Option {
	return func(settings *settings) { settings.tls = config }
}

// WithStartupTimeout limits the time from accepting a connection to the end of its login.
func WithStartupTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.startupTimeout = timeout }
}

// WithWriteTimeout limits the time that a write to a caller may block.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.writeTimeout = timeout }
}

// WithTransactionTimeout limits the time that a transaction may be idle.
func WithTransactionTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.transactionTimeout = timeout }
}

// WithStartupLimit limits the number of connections that have not logged in.
func WithStartupLimit(limit int) Option {
	return func(settings *settings) { settings.maxStartups = limit }
}

// WithMessageSize limits the size of a caller's message, in bytes.
func WithMessageSize(size int) Option {
	return func(settings *settings) { settings.maxMessageSize = size }
}

// WithCycleSize limits the total size of the messages of a cycle, and of a session's prepared statements, in bytes.
func WithCycleSize(size int) Option {
	return func(settings *settings) { settings.maxCycleSize = size }
}
