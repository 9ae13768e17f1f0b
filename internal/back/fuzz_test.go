package back

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// messageChecker tracks whether the data written to it ends at a message boundary.
type messageChecker struct {
	rest   int
	header []byte
}

// Write parses the message headers.
func (checker *messageChecker) Write(messages []byte) (int, error) {
	for _, char := range messages {
		if checker.rest > 0 {
			checker.rest--
			continue
		}
		checker.header = append(checker.header, char)
		if len(checker.header) == headerSize {
			checker.rest = messageSize(checker.header) - headerSize
			checker.header = checker.header[:0]
		}
	}
	return len(messages), nil
}

func FuzzAnswer(f *testing.F) {
	extended := &spool.Cycle{
		Replies: []spool.Reply{
			spool.ReplyParse, spool.ReplyBind, spool.ReplyDescribePortal, spool.ReplyExecute, spool.ReplySync,
		},
		Statements: []spool.Statement{{Name: "a"}},
	}
	for _, message := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "a"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Describe{ObjectType: 'P'},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		extended.Messages = encodeFrontend(extended.Messages, message)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, cycle := range []*spool.Cycle{queryCycle("SELECT 1"), extended} {
			fuzzExchange(t, cycle, data)
		}
	})
}

func fuzzExchange(t *testing.T, cycle *spool.Cycle, data []byte) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	go func() {
		_, _ = server.Write(data)
		_ = server.Close()
	}()
	hijacked := &pgconn.HijackedConn{Conn: client, TxStatus: txIdle}
	conn := newConn(spool.ServerSpec{}, hijacked, newSettings(nil))
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sink := &messageChecker{}
	_, err := conn.Exchange(ctx, cycle, sink)
	refusal := &spool.Refusal{}
	switch {
	case ctx.Err() != nil:
		t.Fatal("the exchange did not end before the deadline")
	case err == nil && (sink.rest > 0 || len(sink.header) > 0):
		t.Fatal("the sink received an incomplete message")
	case err != nil && !errors.As(err, &refusal):
		t.Fatalf("error has type %T, want *spool.Refusal", err)
	case err == nil && conn.broken.Load():
		t.Fatal("the connection is broken after a complete response")
	}
}
