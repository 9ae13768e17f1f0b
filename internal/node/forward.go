package node

import (
	"context"
	"net"
	"sync"
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	openTimeout   = 1 * time.Second
	cancelWait    = 3 * time.Second
	maxIdle       = 64
	driftPerMille = 20
)

// stream carries forwarded transactions to one proxy, one after the other.
type stream struct {
	net.Conn
	reader *peer.Reader[wire.Frame, *wire.Frame]
	mutex  sync.Mutex
	writer *peer.Writer[wire.Frame, *wire.Frame]
}

func (stream *stream) send(frame *wire.Frame) error {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	_, err := stream.writer.Write(frame)
	return err
}

// cancel asks the leader to cancel the running cycle and bounds the wait for its answer.
func (stream *stream) cancel() {
	_ = stream.SetReadDeadline(time.Now().Add(cancelWait))
	_ = stream.send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}})
}

// streams are the idle streams to other proxies.
type streams struct {
	mutex sync.Mutex
	idle  map[spool.VM][]*stream
}

func (streams *streams) take(vm spool.VM) *stream {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	idle := streams.idle[vm]
	if len(idle) == 0 {
		return nil
	}
	streams.idle[vm] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

func (streams *streams) put(vm spool.VM, unused *stream) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	if streams.idle == nil {
		streams.idle = map[spool.VM][]*stream{}
	}
	if len(streams.idle[vm]) >= maxIdle {
		_ = unused.Close()
		return
	}
	streams.idle[vm] = append(streams.idle[vm], unused)
}

// forward is an executor to the leader on another proxy.
type forward struct {
	node    *Node
	vm      spool.VM
	group   spool.Group
	request leader.Request
	stream  *stream
	opened  bool // the leader was told of the work
	clean   bool // the stream may carry another transaction
}

func newForward(node *Node, vm spool.VM, group spool.Group, request leader.Request) *forward {
	return &forward{node: node, vm: vm, group: group, request: request}
}

// Exchange sends one cycle to the leader; ErrMoved says that nothing ran there.
func (forward *forward) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if err := forward.connect(ctx); err != nil {
		return spool.Result{TxStatus: 'I'}, leader.ErrNotLeader
	}
	forward.clean = false
	sentAt := forward.node.timers.Now()
	if err := forward.send(cycle); err != nil {
		return forward.lost(err)
	}
	forward.node.waits.add(lease.GroupRole(forward.group), forward.stream)
	defer forward.node.waits.remove(lease.GroupRole(forward.group), forward.stream)
	stop := context.AfterFunc(ctx, forward.stream.cancel)
	result, err := forward.receive(sentAt, sink)
	forward.clean = stop() && forward.clean
	return result, err
}

func (forward *forward) receive(sentAt spool.Instant, sink spool.Sink) (spool.Result, error) {
	for {
		frame, err := forward.stream.reader.Read()
		if err != nil {
			return forward.lost(err)
		}
		switch body := frame.Body.(type) {
		case *wire.Frame_Chunk:
			if !forward.valid(sentAt, body.Chunk.ValidNanos) {
				return spool.Result{TxStatus: 'I', Sent: true}, expired()
			}
			if _, err := sink.Write(body.Chunk.Messages); err != nil {
				return spool.Result{TxStatus: 'I', Sent: true}, err
			}
		case *wire.Frame_Done:
			return forward.done(body.Done, sentAt)
		}
	}
}

func (forward *forward) connect(ctx context.Context) error {
	if forward.stream != nil {
		return nil
	}
	if forward.stream = forward.node.streams.take(forward.vm); forward.stream != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := forward.node.transport.Open(ctx, forward.vm)
	if err != nil {
		return err
	}
	forward.stream = &stream{
		Conn:   conn,
		reader: peer.NewReader[wire.Frame](conn),
		writer: peer.NewWriter[wire.Frame](conn),
	}
	return nil
}

func (forward *forward) send(cycle *spool.Cycle) error {
	if !forward.opened {
		forward.opened = true
		work := &wire.Frame{Body: &wire.Frame_Work{Work: forward.work()}}
		if err := forward.stream.send(work); err != nil {
			return err
		}
	}
	chunk := &wire.Chunk{Messages: cycle.Messages, Flush: cycle.Flush, Statements: toWire(cycle.Statements)}
	for _, reply := range cycle.Replies {
		chunk.Replies = append(chunk.Replies, int32(reply))
	}
	return forward.stream.send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

func (forward *forward) work() *wire.Work {
	request := forward.request
	return &wire.Work{
		Team: string(request.Team), Group: string(forward.group),
		Term: uint64(request.Token.Term), Position: uint64(request.Token.Position), Tokenless: request.Tokenless,
		Read: request.Read, Idempotent: request.Idempotent, Durable: request.Durable,
		MaxAgeNanos:  int64(request.MaxAge),
		TimeoutNanos: int64(request.Deadline.Sub(forward.node.timers.Now())),
	}
}

// valid tells whether an answer may still be passed on, with allowance for the drift of both clocks.
func (forward *forward) valid(sentAt spool.Instant, validNanos int64) bool {
	if validNanos == 0 {
		return true
	}
	until := sentAt.Add(time.Duration(validNanos - validNanos/1000*driftPerMille))
	return forward.node.timers.Now() < until
}

func (forward *forward) done(done *wire.Done, sentAt spool.Instant) (spool.Result, error) {
	result := spool.Result{
		TxStatus: byte(done.TxStatus), Sent: done.Sent, Replica: done.Replica,
		Token: spool.SessionToken{Group: forward.group, Term: spool.Term(done.Term), Position: spool.Position(done.Position)},
	}
	if done.Moved {
		forward.clean = true
		return result, leader.ErrNotLeader
	}
	if done.Code != "" {
		return result, &spool.Refusal{
			Verdict: spool.Verdict(done.Verdict), Code: done.Code,
			Message: done.Message, RetryAfter: time.Duration(done.RetryNanos),
		}
	}
	if !forward.valid(sentAt, done.ValidNanos) {
		return spool.Result{TxStatus: 'I', Sent: true}, expired()
	}
	forward.clean = result.TxStatus == 'I'
	return result, nil
}

// lost says that the leader's answer did not come.
func (forward *forward) lost(err error) (spool.Result, error) {
	return spool.Result{TxStatus: 'I', Sent: true}, &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, RetryAfter: movedRetryAfter,
		Message: "the proxy that served the database group was lost", Cause: err,
	}
}

// Close gives the stream back; the leader rolls back what is open when a stream closes.
func (forward *forward) Close() {
	if forward.stream == nil {
		return
	}
	if forward.clean {
		forward.node.streams.put(forward.vm, forward.stream)
	} else {
		_ = forward.stream.Close()
	}
	forward.stream = nil
}

func expired() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, RetryAfter: movedRetryAfter,
		Message: "the answer came too late to tell whether its server was still the primary",
	}
}

func toWire(statements []spool.Statement) []*wire.Statement {
	converted := make([]*wire.Statement, 0, len(statements))
	for _, statement := range statements {
		converted = append(converted, &wire.Statement{
			Name: statement.Name, Query: statement.Query, ParameterOids: statement.ParameterOIDs,
		})
	}
	return converted
}

func fromWire(statements []*wire.Statement) []spool.Statement {
	converted := make([]spool.Statement, 0, len(statements))
	for _, statement := range statements {
		converted = append(converted, spool.Statement{
			Name: statement.Name, Query: statement.Query, ParameterOIDs: statement.ParameterOids,
		})
	}
	return converted
}
