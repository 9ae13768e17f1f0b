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

// served is the leader's end of a stream of forwarded transactions.
type served struct {
	node     *Node
	writer   *peer.Writer[wire.Frame, *wire.Frame]
	group    *hosted
	executor *leader.Executor
	timeout  time.Duration

	receivedAt spool.Instant
}

// Serve runs the forwarded transactions of one stream.
func (node *Node) Serve(_ spool.VM, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	served := &served{node: node, writer: peer.NewWriter[wire.Frame](conn)}
	defer served.close()
	ctx, cancel := context.WithCancel(node.ctx)
	defer cancel()
	inbox := newInbox(ctx, conn, cancel)
	for frame := range inbox.frames {
		switch body := frame.Body.(type) {
		case *wire.Frame_Work:
			served.open(body.Work)
		case *wire.Frame_Chunk:
			if err := served.exchange(inbox, body.Chunk); err != nil {
				return
			}
		}
	}
}

func (served *served) open(work *wire.Work) {
	served.close()
	served.timeout = time.Duration(work.TimeoutNanos)
	group, known := served.node.groups.get(spool.Group(work.Group))
	if !known {
		return
	}
	served.group = group
	served.executor = group.NewExecutor(leader.Request{
		Team: spool.Team(work.Team),
		Token: spool.SessionToken{
			Group: spool.Group(work.Group), Term: spool.Term(work.Term), Position: spool.Position(work.Position),
		},
		Tokenless: work.Tokenless, Read: work.Read, Idempotent: work.Idempotent, Durable: work.Durable,
		MaxAge:   time.Duration(work.MaxAgeNanos),
		Deadline: served.node.timers.Now().Add(served.timeout),
	})
}

func (served *served) close() {
	if served.executor != nil {
		served.executor.Close()
		served.executor = nil
	}
}

// exchange runs one cycle and answers it; it fails when the stream broke.
func (served *served) exchange(inbox *inbox, chunk *wire.Chunk) error {
	if served.executor == nil {
		return served.send(&wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{Moved: true, TxStatus: 'I'}}})
	}
	ctx, cancel := context.WithTimeout(inbox.ctx, served.timeout)
	defer cancel()
	served.receivedAt = inbox.begin(cancel)
	defer inbox.end()
	defer served.group.BlockDrain()()
	cycle := &spool.Cycle{Messages: chunk.Messages, Statements: fromWire(chunk.Statements), Flush: chunk.Flush}
	for _, reply := range chunk.Replies {
		cycle.Replies = append(cycle.Replies, spool.Reply(reply))
	}
	result, err := served.executor.Exchange(ctx, cycle, served)
	return served.send(&wire.Frame{Body: &wire.Frame_Done{Done: served.done(result, err)}})
}

func (served *served) done(result spool.Result, err error) *wire.Done {
	done := &wire.Done{
		Term: uint64(result.Token.Term), Position: uint64(result.Token.Position),
		TxStatus: uint32(result.TxStatus), Sent: result.Sent, Replica: result.Replica,
	}
	var refusal *spool.Refusal
	switch {
	case err == nil:
		done.ValidNanos = served.validNanos()
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

// validNanos is the rest of the lease, counted from the receipt of the cycle; zero sets no bound.
func (served *served) validNanos() int64 {
	until, bounded := served.executor.ValidUntil()
	if !bounded {
		return 0
	}
	return max(int64(until.Sub(served.receivedAt)), 1)
}

// Write sends a part of the answer.
func (served *served) Write(messages []byte) (int, error) {
	chunk := &wire.Chunk{Messages: messages, ValidNanos: served.validNanos()}
	return len(messages), served.send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

func (served *served) send(frame *wire.Frame) error {
	_, err := served.writer.Write(frame)
	return err
}
