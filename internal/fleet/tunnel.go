package fleet

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tunnelTimeout     = 800 * time.Millisecond // two round trips between regions and a handshake
	maxTunnelAttempts = 2                      // tried one after the other
)

// dialTunnel connects to a group's primary through another proxy that reaches it.
func (proxy *Proxy) dialTunnel(
	ctx context.Context, group spool.Group, server spool.Server, address string,
) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	lastErr := eris.Errorf("no live proxy for a tunnel to server %s", server)
	_, domain := proxy.pool.Primary(group)
	for _, vm := range proxy.tunnelCandidates(domain) {
		stream, err := proxy.peers.transport.Open(ctx, vm)
		if err == nil {
			if err = requestTunnel(stream, address); err == nil {
				return stream, nil
			}
			_ = stream.Close() // it was not used
		}
		lastErr = eris.Wrapf(err, "tunnel through proxy %s", vm)
	}
	return nil, lastErr
}

// tunnelCandidates returns live proxies to try one after the other, those in the server's region first.
func (proxy *Proxy) tunnelCandidates(domain spool.Domain) []spool.VM {
	live := proxy.members.liveMembers()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	region := proxy.settings.Regions[domain]
	if proxy.pool.Restricted() { // the tunnel carries requests whose home regions include only the server's region
		live = slices.DeleteFunc(live, func(member roster.Member) bool { return proxy.settings.Regions[member.Domain] != region })
	}
	slices.SortStableFunc(live, func(left, right roster.Member) int {
		return boolRank(proxy.settings.Regions[right.Domain] == region) - boolRank(proxy.settings.Regions[left.Domain] == region)
	})
	var vms []spool.VM
	for _, member := range live[:min(len(live), maxTunnelAttempts)] {
		vms = append(vms, member.VM)
	}
	return vms
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

func requestTunnel(stream net.Conn, address string) error {
	if err := stream.SetDeadline(time.Now().Add(tunnelTimeout)); err != nil {
		return err
	}
	frames := lend.NewStream(stream)
	request := &wire.RelayRequest{Address: address}
	if err := frames.Write(&wire.StreamFrame{Body: &wire.StreamFrame_RelayRequest{RelayRequest: request}}); err != nil {
		return err
	}
	if _, err := frames.Read(); err != nil {
		return err
	}
	return stream.SetDeadline(time.Time{})
}

// serveTunnel connects a stream of another proxy to the backend server at an address and copies in both directions.
func (proxy *Proxy) serveTunnel(stream *lend.Stream, address string) {
	if !proxy.pool.HasAddress(address) {
		event.Log(proxy.logger, event.TunnelRefused, zap.String("Address", address))
		return
	}
	domain := proxy.pool.AddressDomain(address)
	if err := proxy.pool.CheckSend(domain, place.NewWork); err != nil {
		event.Log(proxy.logger, event.TunnelRefused, zap.String("Address", address), event.Cause(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTimeout)
	defer cancel()
	conn, err := proxy.dial(ctx, address)
	if err != nil {
		event.Log(proxy.logger, event.TunnelRefused, zap.String("Address", address), event.Cause(err))
		return
	}
	defer func() { _ = conn.Close() }() // either side has closed
	defer proxy.evacuations.addTunnel(conn, domain)()
	answer := &wire.StreamFrame_RelayAnswer{RelayAnswer: &wire.RelayAnswer{}}
	if err := stream.Write(&wire.StreamFrame{Body: answer}); err != nil {
		return
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(tunnelWriter{conn, proxy.pool, domain}, stream.Remaining()) // the end of one side ends both
		done <- struct{}{}
	}()
	go func() {
		_, _ = io.Copy(stream.Conn, conn) // the end of one side ends both
		done <- struct{}{}
	}()
	<-done
}
