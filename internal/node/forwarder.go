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
	openTimeout        = 1 * time.Second
	cancelTimeout      = 3 * time.Second
	maxIdleStreams     = 64
	clockDriftPerMille = 20
)

// stream carries forwarded transactions to one proxy, one at a time.
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

// cancel asks the leader to cancel the running cycle and limits the wait for its answer to cancelTimeout.
func (stream *stream) cancel() {
	_ = stream.SetReadDeadline(time.Now().Add(cancelTimeout))
	_ = stream.send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}})
}

// streamPool holds the idle streams to other proxies.
type streamPool struct {
	mutex sync.Mutex
	idle  map[spool.VM][]*stream
}

func (streamPool *streamPool) get(vm spool.VM) *stream {
	streamPool.mutex.Lock()
	defer streamPool.mutex.Unlock()
	idle := streamPool.idle[vm]
	if len(idle) == 0 {
		return nil
	}
	streamPool.idle[vm] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

func (streamPool *streamPool) put(vm spool.VM, idleStream *stream) {
	streamPool.mutex.Lock()
	defer streamPool.mutex.Unlock()
	if streamPool.idle == nil {
		streamPool.idle = map[spool.VM][]*stream{}
	}
	if len(streamPool.idle[vm]) >= maxIdleStreams {
		_ = idleStream.Close()
		return
	}
	streamPool.idle[vm] = append(streamPool.idle[vm], idleStream)
}

// forwarder is an executor that forwards a transaction to the leader on another proxy.
type forwarder struct {
	node     *Node
	vm       spool.VM
	group    spool.Group
	request  leader.Request
	stream   *stream
	workSent bool // the Work frame was sent
	reusable bool // the stream can carry another transaction
}

func newForwarder(node *Node, vm spool.VM, group spool.Group, request leader.Request) *forwarder {
	return &forwarder{node: node, vm: vm, group: group, request: request}
}

// Exchange sends one cycle to the leader; leader.ErrNotLeader means that nothing ran there.
func (forwarder *forwarder) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if err := forwarder.connect(ctx); err != nil {
		return spool.Result{TxStatus: 'I'}, leader.ErrNotLeader
	}
	forwarder.reusable = false
	sentAt := forwarder.node.timers.Now()
	if err := forwarder.sendCycle(cycle); err != nil {
		return forwarder.outcomeUnknown(err)
	}
	forwarder.node.pendingStreams.add(lease.GroupRole(forwarder.group), forwarder.stream)
	defer forwarder.node.pendingStreams.remove(lease.GroupRole(forwarder.group), forwarder.stream)
	stop := context.AfterFunc(ctx, forwarder.stream.cancel)
	result, err := forwarder.receive(sentAt, sink)
	forwarder.reusable = stop() && forwarder.reusable
	return result, err
}

func (forwarder *forwarder) receive(sentAt spool.Instant, sink spool.Sink) (spool.Result, error) {
	for {
		frame, err := forwarder.stream.reader.Read()
		if err != nil {
			return forwarder.outcomeUnknown(err)
		}
		switch body := frame.Body.(type) {
		case *wire.Frame_Chunk:
			if !forwarder.stillValid(sentAt, body.Chunk.ValidNanos) {
				return spool.Result{TxStatus: 'I', Sent: true}, expiredRefusal()
			}
			if _, err := sink.Write(body.Chunk.Messages); err != nil {
				return spool.Result{TxStatus: 'I', Sent: true}, err
			}
		case *wire.Frame_Done:
			return forwarder.finishCycle(body.Done, sentAt)
		}
	}
}

func (forwarder *forwarder) connect(ctx context.Context) error {
	if forwarder.stream != nil {
		return nil
	}
	if forwarder.stream = forwarder.node.streamPool.get(forwarder.vm); forwarder.stream != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := forwarder.node.transport.Open(ctx, forwarder.vm)
	if err != nil {
		return err
	}
	forwarder.stream = &stream{
		Conn:   conn,
		reader: peer.NewReader[wire.Frame](conn),
		writer: peer.NewWriter[wire.Frame](conn),
	}
	return nil
}

func (forwarder *forwarder) sendCycle(cycle *spool.Cycle) error {
	if !forwarder.workSent {
		forwarder.workSent = true
		work := &wire.Frame{Body: &wire.Frame_Work{Work: forwarder.newWork()}}
		if err := forwarder.stream.send(work); err != nil {
			return err
		}
	}
	chunk := &wire.Chunk{Messages: cycle.Messages, Flush: cycle.Flush, Statements: statementsToWire(cycle.Statements)}
	for _, reply := range cycle.Replies {
		chunk.Replies = append(chunk.Replies, int32(reply))
	}
	return forwarder.stream.send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

func (forwarder *forwarder) newWork() *wire.Work {
	request := forwarder.request
	return &wire.Work{
		Team: string(request.Team), Group: string(forwarder.group),
		Term: uint64(request.Token.Term), Position: uint64(request.Token.Position), Tokenless: request.Tokenless,
		Read: request.Read, Idempotent: request.Idempotent, Durable: request.Durable,
		MaxAgeNanos:  int64(request.MaxAge),
		TimeoutNanos: int64(request.Deadline.Sub(forwarder.node.timers.Now())),
	}
}

// stillValid reports whether an answer may still be passed on, with an allowance for the drift of both clocks.
func (forwarder *forwarder) stillValid(sentAt spool.Instant, validNanos int64) bool {
	if validNanos == 0 {
		return true
	}
	until := sentAt.Add(time.Duration(validNanos - validNanos/1000*clockDriftPerMille))
	return forwarder.node.timers.Now() < until
}

func (forwarder *forwarder) finishCycle(done *wire.Done, sentAt spool.Instant) (spool.Result, error) {
	result := spool.Result{
		TxStatus: byte(done.TxStatus), Sent: done.Sent, Replica: done.Replica,
		Token: spool.SessionToken{Group: forwarder.group, Term: spool.Term(done.Term), Position: spool.Position(done.Position)},
	}
	if done.Moved {
		forwarder.reusable = true
		return result, leader.ErrNotLeader
	}
	if done.Code != "" {
		return result, &spool.Refusal{
			Verdict: spool.Verdict(done.Verdict), Code: done.Code,
			Message: done.Message, RetryAfter: time.Duration(done.RetryNanos),
		}
	}
	if !forwarder.stillValid(sentAt, done.ValidNanos) {
		return spool.Result{TxStatus: 'I', Sent: true}, expiredRefusal()
	}
	forwarder.reusable = result.TxStatus == 'I'
	return result, nil
}

// outcomeUnknown returns the refusal for a stream that broke before the leader's answer was complete.
func (forwarder *forwarder) outcomeUnknown(err error) (spool.Result, error) {
	return spool.Result{TxStatus: 'I', Sent: true}, &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, RetryAfter: refusalRetryAfter,
		Message: "the proxy that served the database group was lost", Cause: err,
	}
}

// Close returns a reusable stream to the pool and closes any other; the leader then rolls back an open transaction.
func (forwarder *forwarder) Close() {
	if forwarder.stream == nil {
		return
	}
	if forwarder.reusable {
		forwarder.node.streamPool.put(forwarder.vm, forwarder.stream)
	} else {
		_ = forwarder.stream.Close()
	}
	forwarder.stream = nil
}

func expiredRefusal() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, RetryAfter: refusalRetryAfter,
		Message: "the answer came too late to tell whether its server was still the primary",
	}
}

func statementsToWire(statements []spool.Statement) []*wire.Statement {
	converted := make([]*wire.Statement, 0, len(statements))
	for _, statement := range statements {
		converted = append(converted, &wire.Statement{
			Name: statement.Name, Query: statement.Query, ParameterOids: statement.ParameterOIDs,
		})
	}
	return converted
}

func statementsFromWire(statements []*wire.Statement) []spool.Statement {
	converted := make([]spool.Statement, 0, len(statements))
	for _, statement := range statements {
		converted = append(converted, spool.Statement{
			Name: statement.Name, Query: statement.Query, ParameterOIDs: statement.ParameterOids,
		})
	}
	return converted
}
