package pool

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// tunnelTTL is how long connections to a primary go through another proxy before a direct one is tried again.
const tunnelTTL = 2 * time.Second

// TunnelDialer connects to a group's primary through another proxy.
type TunnelDialer func(ctx context.Context, group spool.Group, server spool.Server, address string) (net.Conn, error)

var errNoTunnel = errors.New("no tunnel dialer configured")

func noTunnel(context.Context, spool.Group, spool.Server, string) (net.Conn, error) {
	return nil, errNoTunnel
}

// connect connects to a server, and through another proxy if the server is an unreachable primary; tunneled reports the latter.
func (pool *Pool) connect(
	ctx context.Context, server *server, target spool.ServerTarget, work place.Work,
) (serverConn spool.ServerConn, tunneled bool, position spool.LogPosition, err error) {
	tunneled, primary, domain := pool.path(server)
	dial := pool.checkedDial(domain, work, pool.dial)
	dialTunnel := pool.checkedDial(domain, work, func(ctx context.Context, address string) (net.Conn, error) {
		return pool.dialTunnel(ctx, target.Group, target.Server, address)
	})
	if tunneled {
		serverConn, position, err = pool.dialer.Open(ctx, dialTunnel, target)
		return serverConn, true, position, err
	}
	serverConn, position, err = pool.dialer.Open(ctx, dial, target)
	var refusal *spool.Refusal
	if err == nil || !primary || errors.As(err, &refusal) || unsent(err) {
		return serverConn, false, position, err
	}
	serverConn, position, tunnelErr := pool.dialer.Open(ctx, dialTunnel, target)
	if tunnelErr != nil {
		return nil, false, position, err
	}
	pool.tunnelConnections(server)
	event.Log(pool.logger, event.PrimaryTunneled, zap.String("Group", string(target.Group)),
		zap.String("Server", string(target.Server)), event.Cause(err))
	return serverConn, true, position, nil
}

// path returns what decides how to connect to a server: whether it is presently reached through another proxy, whether it is
// presumed to be the primary, and its failure domain.
func (pool *Pool) path(server *server) (tunneled, primary bool, domain spool.Domain) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.timers.Now() < server.tunnelUntil, pool.group(server.group).leadership.Server == server.name, server.spec.Domain
}

// tunnelConnections makes connections to a server go through another proxy for tunnelTTL.
func (pool *Pool) tunnelConnections(server *server) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	server.tunnelUntil = pool.timers.Now().Add(tunnelTTL)
}
