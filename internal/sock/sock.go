package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which a far end that confirms nothing counts as gone.
const (
	DefaultUserTimeout = 1500 * time.Millisecond // three retransmissions on a link with 20 ms each way
	connectTimeout     = 400 * time.Millisecond  // ten round trips between regions; a lost packet is sent again after a second
	keepAliveIdle      = time.Second             // smallest value of the socket option
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
)

// Option changes how connections are opened.
type Option func(config *net.KeepAliveConfig)

// WithoutKeepAlive leaves out the probes on idle connections, for those that carry heartbeats anyway.
func WithoutKeepAlive() Option {
	return func(config *net.KeepAliveConfig) { config.Enable = false }
}

// Dialer returns a function that dials TCP; sent bytes that stay unconfirmed for longer than silence end a connection.
func Dialer(silence time.Duration, options ...Option) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive(options), KeepAlive: -1, Control: control(silence), Timeout: connectTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
}

// Listen listens on a TCP address; accepted connections notice a silent far end as those of Dialer do.
func Listen(ctx context.Context, address string, silence time.Duration, options ...Option) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(options), KeepAlive: -1, Control: control(silence)}
	return config.Listen(ctx, "tcp4", address)
}

func keepAlive(options []Option) net.KeepAliveConfig {
	config := net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
	for _, option := range options {
		option(&config)
	}
	return config
}

func control(silence time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			milliseconds := int(silence.Milliseconds())
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
