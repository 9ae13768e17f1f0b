package back_test

import (
	"context"
	"net"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

const testTimeout = 10 * time.Second

var credentials = back.Credentials{User: "spool", Password: "spool", Database: "renewals"}

func startServer(c *qt.C, options ...regsrv.Option) spool.ServerSpec {
	server := regsrv.New(options...)
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(server.Close)
	return spool.ServerSpec{Name: "one", Address: server.Address()}
}

func dial(c *qt.C, server spool.ServerSpec, options ...back.Option) *back.Conn {
	conn, err := back.Dial(timeoutContext(c), server, credentials, options...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(conn.Close)
	return conn
}

func timeoutContext(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	return ctx
}

// newCycle builds a cycle from messages; Parse messages are added to its statement definitions as well.
func newCycle(messages ...pgproto3.FrontendMessage) *spool.Cycle {
	built := &spool.Cycle{}
	for _, message := range messages {
		built.Messages, _ = message.Encode(built.Messages)
		switch message := message.(type) {
		case *pgproto3.Query:
			built.Replies = append(built.Replies, spool.ReplyQuery)
		case *pgproto3.Parse:
			built.Replies = append(built.Replies, spool.ReplyParse)
			built.Statements = append(built.Statements, spool.Statement{Name: message.Name, Query: message.Query})
		case *pgproto3.Bind:
			built.Replies = append(built.Replies, spool.ReplyBind)
		case *pgproto3.Describe:
			built.Replies = append(built.Replies, spool.ReplyDescribePortal)
		case *pgproto3.Execute:
			built.Replies = append(built.Replies, spool.ReplyExecute)
		case *pgproto3.Sync:
			built.Replies = append(built.Replies, spool.ReplySync)
		case *pgproto3.Flush:
			built.Flush = true
		}
	}
	return built
}

func query(text string) *spool.Cycle {
	return newCycle(&pgproto3.Query{String: text})
}

// bindNamed returns a cycle that executes a named statement without a Parse; the definition comes with the cycle.
func bindNamed(name, text string) *spool.Cycle {
	built := newCycle(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
	built.Statements = []spool.Statement{{Name: name, Query: text}}
	return built
}

// recordingSink records the kinds of the messages written to it.
type recordingSink struct {
	kinds  string
	writes int
	codes  []string
}

// Write expects complete messages.
func (sink *recordingSink) Write(messages []byte) (int, error) {
	sink.writes++
	for rest := messages; len(rest) > 0; {
		length := int(rest[1])<<24 | int(rest[2])<<16 | int(rest[3])<<8 | int(rest[4])
		sink.kinds += string(rest[0])
		if rest[0] == 'E' {
			var response pgproto3.ErrorResponse
			_ = response.Decode(rest[5 : 1+length])
			sink.codes = append(sink.codes, response.Code)
		}
		rest = rest[1+length:]
	}
	return len(messages), nil
}

// startScripted starts a server that answers each read with the next part of a script.
func startScripted(c *qt.C, script ...[]pgproto3.BackendMessage) (server spool.ServerSpec, sent <-chan []byte) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	reads := make(chan []byte, 100)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go runScript(socket, script, reads)
		}
	}()
	return spool.ServerSpec{Name: "script", Address: listener.Addr().String()}, reads
}

func runScript(socket net.Conn, script [][]pgproto3.BackendMessage, reads chan<- []byte) {
	defer func() { _ = socket.Close() }()
	backend := pgproto3.NewBackend(socket, socket)
	message, err := backend.ReceiveStartupMessage()
	if _, ok := message.(*pgproto3.StartupMessage); err != nil || !ok {
		return
	}
	responses := append([][]pgproto3.BackendMessage{{
		&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}, idle,
	}}, script...)
	for _, response := range responses {
		for _, message := range response {
			backend.Send(message)
		}
		if backend.Flush() != nil || closesConnection(response) {
			return
		}
		buffer := make([]byte, 1<<16)
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		reads <- buffer[:n]
	}
}

// closesConnection reports whether the server closes the connection after a response because it is incomplete.
func closesConnection(response []pgproto3.BackendMessage) bool {
	if len(response) == 0 {
		return true
	}
	switch response[len(response)-1].(type) {
	case *pgproto3.ReadyForQuery, *pgproto3.CopyInResponse:
		return false
	}
	return true
}

var (
	idle     = &pgproto3.ReadyForQuery{TxStatus: 'I'}
	complete = &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
)

func errorMessage(severity, code string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: severity, Code: code, Message: "no"}
}
