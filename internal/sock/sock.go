package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which a peer that acknowledges nothing counts as unreachable.
const (
	DefaultUserTimeout = 1500 * time.Millisecond // three retransmissions on a path with 20 ms of latency each way
	connectTimeout     = 400 * time.Millisecond  // ten round trips between regions; a lost SYN is retransmitted only after a second
	keepAliveIdle      = time.Second             // smallest value of the socket option
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
)

// Option configures the keep-alive probes of connections.
type Option func(config *net.KeepAliveConfig)

// WithoutKeepAlive disables probes on idle connections, for those that carry heartbeats anyway.
func WithoutKeepAlive() Option {
	return func(config *net.KeepAliveConfig) { config.Enable = false }
}

// Dialer returns a function that dials TCP; a connection fails if sent data stays unacknowledged for longer than
// userTimeout.
func Dialer(userTimeout time.Duration, options ...Option) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: keepAliveConfig(options), KeepAlive: -1, Control: setUserTimeout(userTimeout), Timeout: connectTimeout,
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
}

// Listen listens on a TCP address; accepted connections detect an unresponsive peer as those of Dialer do.
func Listen(ctx context.Context, address string, userTimeout time.Duration, options ...Option) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(options), KeepAlive: -1, Control: setUserTimeout(userTimeout)}
	return config.Listen(ctx, "tcp4", address)
}

func keepAliveConfig(options []Option) net.KeepAliveConfig {
	config := net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
	for _, option := range options {
		option(&config)
	}
	return config
}

func setUserTimeout(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			milliseconds := int(userTimeout.Milliseconds())
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
