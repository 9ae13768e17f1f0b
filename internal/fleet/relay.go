package fleet

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
)

const (
	relayDialTimeout = time.Second // as for a connection of one's own
	relayOK          = "OK"
)

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
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
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
		_, _ = io.Copy(stream, conn)
		done <- struct{}{}
	}()
	<-done
}
