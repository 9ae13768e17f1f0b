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
	defaultEndingGrace        = 20 * time.Millisecond
	defaultEndingPatience     = 1 * time.Second
	defaultStartups           = 256
	defaultMessageSize        = 4 << 20
	defaultCycleSize          = 16 << 20
	defaultStatements         = 4096
)

type settings struct {
	tls                *tls.Config
	startupTimeout     time.Duration
	writeTimeout       time.Duration
	transactionTimeout time.Duration
	keepAlive          time.Duration
	endingGrace        time.Duration
	endingPatience     time.Duration
	startups           int
	messageSize        int
	cycleSize          int
	statements         int
	observer           Observer
}

func defaultSettings() settings {
	return settings{
		startupTimeout:     defaultStartupTimeout,
		writeTimeout:       defaultWriteTimeout,
		transactionTimeout: defaultTransactionTimeout,
		keepAlive:          defaultKeepAlive,
		endingGrace:        defaultEndingGrace,
		endingPatience:     defaultEndingPatience,
		startups:           defaultStartups,
		messageSize:        defaultMessageSize,
		cycleSize:          defaultCycleSize,
		statements:         defaultStatements,
		observer:           silent{},
	}
}

// Option changes a setting of a Front.
type Option func(*settings)

// WithObserver sets who is told of refused callers and ended sessions.
func WithObserver(observer Observer) Option {
	return func(settings *settings) { settings.observer = observer }
}

// WithTLS offers TLS to callers.
func WithTLS(config *tls.Config) Option {
	return func(settings *settings) { settings.tls = config }
}

// WithStartupTimeout bounds the time from a caller's connection to the end of its login.
func WithStartupTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.startupTimeout = timeout }
}

// WithWriteTimeout bounds the time that a caller may leave sent bytes unread.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.writeTimeout = timeout }
}

// WithTransactionTimeout bounds the time that a caller may leave a transaction open without a message.
func WithTransactionTimeout(timeout time.Duration) Option {
	return func(settings *settings) { settings.transactionTimeout = timeout }
}

// WithStartupLimit bounds the connections that have not logged in.
func WithStartupLimit(limit int) Option {
	return func(settings *settings) { settings.startups = limit }
}

// WithMessageSize bounds a caller's message, in bytes.
func WithMessageSize(size int) Option {
	return func(settings *settings) { settings.messageSize = size }
}

// WithCycleSize bounds the messages of a cycle together, and a caller's prepared statements, in bytes.
func WithCycleSize(size int) Option {
	return func(settings *settings) { settings.cycleSize = size }
}
