package pool

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// detourLife is how long connections to a primary go through another proxy before the direct way is tried again.
const detourLife = 2 * time.Second

// TunnelDialer connects to a group's primary through another proxy that reached it lately.
type TunnelDialer func(ctx context.Context, group spool.Group, server spool.Server, address string) (net.Conn, error)

var errNoDetour = errors.New("no other proxy reaches the server")

func noDetour(context.Context, spool.Group, spool.Server, string) (net.Conn, error) {
	return nil, errNoDetour
}

// link connects to a server; a primary that cannot be reached is reached through another proxy if one can.
func (pool *Pool) link(
	ctx context.Context, server *server, target spool.ServerTarget,
) (spool.ServerConn, spool.LogPosition, error) {
	detour := func(ctx context.Context, address string) (net.Conn, error) {
		return pool.detour(ctx, target.Group, target.Server, address)
	}
	pool.mutex.Lock()
	detoured := pool.timers.Now() < server.detoured
	primary := pool.group(target.Group).primary == target.Server
	pool.mutex.Unlock()
	if detoured {
		return pool.dialer.Open(ctx, detour, target)
	}
	serverConn, position, err := pool.dialer.Open(ctx, pool.dial, target)
	var refusal *spool.Refusal
	if err == nil || !primary || errors.As(err, &refusal) {
		return serverConn, position, err
	}
	serverConn, position, detourErr := pool.dialer.Open(ctx, detour, target)
	if detourErr != nil {
		return nil, position, err
	}
	pool.mutex.Lock()
	server.detoured = pool.timers.Now().Add(detourLife)
	pool.mutex.Unlock()
	event.Log(pool.logger, event.PrimaryTunneled, zap.String("Group", string(target.Group)),
		zap.String("Server", string(target.Server)), event.Cause(err))
	return serverConn, position, nil
}
