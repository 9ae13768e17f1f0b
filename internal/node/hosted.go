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

// hosted is a group whose leader this proxy is, with the polls of its servers.
type hosted struct {
	*leader.Group
	node  *Node
	name  spool.Group
	ctx   context.Context
	stop  context.CancelFunc
	polls map[spool.Server]poll
}

// poll is the running poll of one server.
type poll struct {
	address string
	stop    context.CancelFunc
}

func (node *Node) keep(spec spool.GroupSpec) {
	ctx, stop := context.WithCancel(node.ctx)
	group := &hosted{
		Group: leader.New(spec, node.timers, node.dial, leader.WithObserver(node)),
		node:  node, name: spec.Name, ctx: ctx, stop: stop, polls: map[spool.Server]poll{},
	}
	node.groups.set(spec.Name, group)
	group.update(spec)
}

func (node *Node) drop(name spool.Group) {
	group, known := node.groups.remove(name)
	if known {
		group.stop()
		group.Shutdown()
	}
}

func (node *Node) dial(ctx context.Context, server spool.ServerSpec) (leader.Conn, error) {
	return back.Dial(ctx, server, node.credentials)
}

// update takes over a changed list of servers; calls come one at a time.
func (hosted *hosted) update(spec spool.GroupSpec) {
	hosted.SetServers(spec.Servers)
	listed := map[spool.Server]bool{}
	for _, server := range spec.Servers {
		listed[server.Name] = true
		running, known := hosted.polls[server.Name]
		if known && running.address == server.Address {
			continue
		}
		if known {
			running.stop()
		}
		ctx, stop := context.WithCancel(hosted.ctx)
		hosted.polls[server.Name] = poll{address: server.Address, stop: stop}
		go hosted.poll(ctx, server, spec.Dialect)
	}
	for name, running := range hosted.polls {
		if !listed[name] {
			running.stop()
			delete(hosted.polls, name)
		}
	}
}

// poll asks a server for its status until the context ends.
func (hosted *hosted) poll(ctx context.Context, server spool.ServerSpec, dialect string) {
	admin, err := hosted.node.admin(dialect)
	if err != nil {
		return
	}
	reach := newReach(serverPatience, hosted.node.timers.Now())
	for ctx.Err() == nil {
		sentAt := hosted.node.timers.Now()
		hosted.ask(ctx, admin, server, sentAt, reach)
		_ = clock.Wait(ctx, hosted.node.timers, pollInterval-hosted.node.timers.Now().Sub(sentAt))
	}
}

func (hosted *hosted) ask(
	ctx context.Context, admin spool.Admin, server spool.ServerSpec, sentAt spool.Instant, reach *reach,
) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := admin.Status(ctx, server)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	hosted.serverCalled(reach, server.Name, err)
	if err != nil {
		hosted.MarkDown(server.Name)
		hosted.tell(terms.StatusFailed{Server: server.Name, SentAt: sentAt, Refused: refused(err)})
		return
	}
	status.Server = server.Name
	hosted.RecordStatus(status, sentAt)
	hosted.tell(terms.StatusReceived{Status: status, SentAt: sentAt})
}

func (hosted *hosted) tell(event terms.Event) {
	hosted.node.handle(core.GroupEvent{Group: hosted.name, Event: event})
}

// refused tells whether an error shows that nobody listens at an address any more.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE)
}
