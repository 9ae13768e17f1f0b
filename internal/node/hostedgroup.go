package node

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/pkg/spool"
)

const (
	pollInterval = 25 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond
)

// hostedGroup is a group that this proxy leads, with the status polls of its servers.
type hostedGroup struct {
	*leader.Group
	node  *Node
	name  spool.Group
	ctx   context.Context
	stop  context.CancelFunc
	polls map[spool.Server]serverPoll
}

// serverPoll is the running status poll of one server.
type serverPoll struct {
	address string
	stop    context.CancelFunc
}

func (node *Node) hostGroup(spec spool.GroupSpec) {
	ctx, stop := context.WithCancel(node.ctx)
	group := &hostedGroup{
		Group: leader.New(spec, node.timers, node.dialServer, leader.WithObserver(node)),
		node:  node, name: spec.Name, ctx: ctx, stop: stop, polls: map[spool.Server]serverPoll{},
	}
	node.groups.set(spec.Name, group)
	group.updateServers(spec)
}

func (node *Node) dropGroup(name spool.Group) {
	group, known := node.groups.remove(name)
	if known {
		group.stop()
		group.Shutdown()
	}
}

func (node *Node) dialServer(ctx context.Context, server spool.ServerSpec) (leader.Conn, error) {
	return back.Dial(ctx, server, node.credentials)
}

// updateServers applies a changed list of servers; calls must not overlap.
func (hostedGroup *hostedGroup) updateServers(spec spool.GroupSpec) {
	hostedGroup.SetServers(spec.Servers)
	listed := map[spool.Server]bool{}
	for _, server := range spec.Servers {
		listed[server.Name] = true
		running, known := hostedGroup.polls[server.Name]
		if known && running.address == server.Address {
			continue
		}
		if known {
			running.stop()
		}
		ctx, stop := context.WithCancel(hostedGroup.ctx)
		hostedGroup.polls[server.Name] = serverPoll{address: server.Address, stop: stop}
		go hostedGroup.pollServer(ctx, server, spec.Dialect)
	}
	for name, running := range hostedGroup.polls {
		if !listed[name] {
			running.stop()
			delete(hostedGroup.polls, name)
		}
	}
}

// pollServer polls a server's status until ctx ends.
func (hostedGroup *hostedGroup) pollServer(ctx context.Context, server spool.ServerSpec, dialect string) {
	admin, err := hostedGroup.node.admin(dialect)
	if err != nil {
		return
	}
	outageDetector := newOutageDetector(serverOutageAfter, hostedGroup.node.timers.Now())
	for ctx.Err() == nil {
		sentAt := hostedGroup.node.timers.Now()
		hostedGroup.pollOnce(ctx, admin, server, sentAt, outageDetector)
		_ = clock.Wait(ctx, hostedGroup.node.timers, pollInterval-hostedGroup.node.timers.Now().Sub(sentAt))
	}
}

func (hostedGroup *hostedGroup) pollOnce(
	ctx context.Context, admin spool.Admin, server spool.ServerSpec, sentAt spool.Instant, outageDetector *outageDetector,
) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := admin.Status(ctx, server)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	hostedGroup.observeServerPoll(outageDetector, server.Name, err)
	if err != nil {
		hostedGroup.MarkDown(server.Name)
		hostedGroup.handleEvent(terms.StatusFailed{Server: server.Name, SentAt: sentAt, Refused: isRefusedOrClosed(err)})
		return
	}
	status.Server = server.Name
	hostedGroup.RecordStatus(status, sentAt)
	hostedGroup.handleEvent(terms.StatusReceived{Status: status, SentAt: sentAt})
}

func (hostedGroup *hostedGroup) handleEvent(event terms.Event) {
	hostedGroup.node.handle(core.GroupEvent{Group: hostedGroup.name, Event: event})
}

// isRefusedOrClosed reports whether a connection was refused or closed: no process serves the address any more.
func isRefusedOrClosed(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE)
}
