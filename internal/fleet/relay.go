package fleet

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	relayTimeout = 800 * time.Millisecond // two round trips between regions and a connection's handshake
	relayContact = time.Second            // a proxy that reached the server within this time may relay: two heartbeats
	relayOK      = "OK"
)

// detour connects to a group's primary through another proxy that reached it lately.
func (proxy *Proxy) detour(
	ctx context.Context, group spool.Group, server spool.Server, address string,
) (net.Conn, error) {
	vm, found := proxy.peers.whoReaches(group, server)
	if !found {
		return nil, eris.Errorf("no other proxy reaches server %s", server)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	stream, err := proxy.peers.transport.Open(ctx, vm)
	if err != nil {
		return nil, err
	}
	if err := askRelay(stream, address); err != nil {
		_ = stream.Close() // it never came into use
		return nil, eris.Wrapf(err, "relay by %s", vm)
	}
	return stream, nil
}

func askRelay(stream net.Conn, address string) error {
	if err := stream.SetDeadline(time.Now().Add(relayTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(stream, address+"\n"); err != nil {
		return err
	}
	answer := make([]byte, len(relayOK)+1)
	if _, err := io.ReadFull(stream, answer); err != nil {
		return err
	}
	return stream.SetDeadline(time.Time{})
}

// whoReaches returns a live proxy that reached a group's primary lately, a near one first.
func (peers *peers) whoReaches(group spool.Group, server spool.Server) (spool.VM, bool) {
	now := peers.proxy.timers.Now()
	var best spool.VM
	shortest := time.Duration(0)
	for _, member := range peers.proxy.members.liveMembers() {
		peers.mutex.Lock()
		seen := peers.views[member.VM].groups[group]
		peers.mutex.Unlock()
		if seen.primary != server || now.Sub(seen.contact) > relayContact || member.Leaving {
			continue
		}
		if distance := peers.proxy.distance(member.Domain); best == "" || distance < shortest {
			best, shortest = member.VM, distance
		}
	}
	return best, best != ""
}

// relayed connects a stream of another proxy to the backend server whose address it names, and copies both ways.
func (proxy *Proxy) relayed(stream net.Conn) {
	defer func() { _ = stream.Close() }() // either side has ended
	reader := bufio.NewReader(stream)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	address := strings.TrimSpace(line)
	if !proxy.pool.Knows(address) {
		event.Log(proxy.logger, event.RelayRefused, zap.String("Address", address))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	conn, err := proxy.dial(ctx, address)
	if err != nil {
		event.Log(proxy.logger, event.RelayRefused, zap.String("Address", address), event.Cause(err))
		return
	}
	defer func() { _ = conn.Close() }() // either side has ended
	if _, err := io.WriteString(stream, relayOK+"\n"); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(conn, reader) // the end of one side ends both
		done <- struct{}{}
	}()
	go func() {
		_, _ = io.Copy(stream, conn) // the end of one side ends both
		done <- struct{}{}
	}()
	<-done
}
