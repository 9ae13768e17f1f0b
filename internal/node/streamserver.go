package node

import (
	"context"
	"errors"
	"net"
	"time"

	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// streamServer is the leader's end of a stream of forwarded transactions.
type streamServer struct {
	node     *Node
	writer   *peer.Writer[wire.Frame, *wire.Frame]
	group    *hostedGroup
	executor *leader.Executor
	timeout  time.Duration

	receivedAt spool.Instant
}

// Serve runs the forwarded transactions of one stream until it ends.
func (node *Node) Serve(_ spool.VM, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	streamServer := &streamServer{node: node, writer: peer.NewWriter[wire.Frame](conn)}
	defer streamServer.close()
	ctx, cancel := context.WithCancel(node.ctx)
	defer cancel()
	frameReader := newFrameReader(ctx, conn, cancel)
	for frame := range frameReader.frames {
		switch body := frame.Body.(type) {
		case *wire.Frame_Work:
			streamServer.openWork(body.Work)
		case *wire.Frame_Chunk:
			if err := streamServer.exchange(frameReader, body.Chunk); err != nil {
				return
			}
		}
	}
}

func (streamServer *streamServer) openWork(work *wire.Work) {
	streamServer.close()
	streamServer.timeout = time.Duration(work.TimeoutNanos)
	group, known := streamServer.node.groups.get(spool.Group(work.Group))
	if !known {
		return
	}
	streamServer.group = group
	streamServer.executor = group.NewExecutor(leader.Request{
		Team: spool.Team(work.Team),
		Token: spool.SessionToken{
			Group: spool.Group(work.Group), Term: spool.Term(work.Term), Position: spool.Position(work.Position),
		},
		Tokenless: work.Tokenless, Read: work.Read, Idempotent: work.Idempotent, Durable: work.Durable,
		MaxAge:   time.Duration(work.MaxAgeNanos),
		Deadline: streamServer.node.timers.Now().Add(streamServer.timeout),
	})
}

func (streamServer *streamServer) close() {
	if streamServer.executor != nil {
		streamServer.executor.Close()
		streamServer.executor = nil
	}
}

// exchange runs one cycle and sends the answer; it fails if the stream is broken.
func (streamServer *streamServer) exchange(frameReader *frameReader, chunk *wire.Chunk) error {
	if streamServer.executor == nil {
		return streamServer.send(&wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{Moved: true, TxStatus: 'I'}}})
	}
	ctx, cancel := context.WithTimeout(frameReader.ctx, streamServer.timeout)
	defer cancel()
	streamServer.receivedAt = frameReader.beginCycle(cancel)
	defer frameReader.endCycle()
	defer streamServer.group.BlockDrain()()
	cycle := &spool.Cycle{Messages: chunk.Messages, Statements: statementsFromWire(chunk.Statements), Flush: chunk.Flush}
	for _, reply := range chunk.Replies {
		cycle.Replies = append(cycle.Replies, spool.Reply(reply))
	}
	result, err := streamServer.executor.Exchange(ctx, cycle, streamServer)
	return streamServer.send(&wire.Frame{Body: &wire.Frame_Done{Done: streamServer.newDone(result, err)}})
}

func (streamServer *streamServer) newDone(result spool.Result, err error) *wire.Done {
	done := &wire.Done{
		Term: uint64(result.Token.Term), Position: uint64(result.Token.Position),
		TxStatus: uint32(result.TxStatus), Sent: result.Sent, Replica: result.Replica,
	}
	var refusal *spool.Refusal
	switch {
	case err == nil:
		done.ValidNanos = streamServer.remainingValidNanos()
	case errors.Is(err, leader.ErrNotLeader):
		done.Moved = true
	case errors.As(err, &refusal):
		done.Verdict, done.Code, done.Message = int32(refusal.Verdict), refusal.Code, refusal.Message
		done.RetryNanos = int64(refusal.RetryAfter)
	default:
		done.Verdict, done.Code, done.Message = int32(spool.VerdictUnknown), spool.CodeOutcomeUnknown, err.Error()
	}
	return done
}

// remainingValidNanos returns how long answers are valid from the receipt of the cycle; zero sets no bound.
func (streamServer *streamServer) remainingValidNanos() int64 {
	until, bounded := streamServer.executor.ValidUntil()
	if !bounded {
		return 0
	}
	return max(int64(until.Sub(streamServer.receivedAt)), 1)
}

// Write sends messages as a part of the answer.
func (streamServer *streamServer) Write(messages []byte) (int, error) {
	chunk := &wire.Chunk{Messages: messages, ValidNanos: streamServer.remainingValidNanos()}
	return len(messages), streamServer.send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

func (streamServer *streamServer) send(frame *wire.Frame) error {
	_, err := streamServer.writer.Write(frame)
	return err
}
