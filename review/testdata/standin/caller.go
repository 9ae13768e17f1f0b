package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var statements atomic.Uint64

// reply is what a caller got for a statement.
type reply struct {
	id       string
	text     string
	sent     time.Time // when the last byte was written
	ended    time.Time
	code     string // DONE, the code of an error, or empty if the connection ended without a complete answer
	state    string
	writeErr error
}

func (reply reply) String() string {
	code := reply.code
	if code == "" {
		code = "no answer, connection ended"
	}
	return fmt.Sprintf("%s %q -> %s", reply.id, reply.text, code)
}

// caller is a session of a consumer.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openCaller(address, route, key string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	caller := &caller{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", route, key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	line, err := caller.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("answer to START: %s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return caller, nil
}

// query sends a statement and waits for its whole answer, at most as long as the time budget.
func (caller *caller) query(text string, budget time.Duration) reply {
	reply := reply{id: fmt.Sprintf("q%d", statements.Add(1)), text: text}
	_ = caller.conn.SetDeadline(time.Now().Add(budget))
	_, reply.writeErr = fmt.Fprintf(caller.conn, "QUERY %s %s\r\n", reply.id, text)
	reply.sent = time.Now()
	code := ""
	for reply.writeErr == nil {
		line, err := caller.reader.ReadString('\n')
		if err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DONE":
			code = word
		case "ERR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			reply.code = code
			reply.state, _, _ = strings.Cut(rest, " ")
			reply.ended = time.Now()
			return reply
		}
	}
	reply.ended = time.Now()
	return reply
}

func (caller *caller) close() { _ = caller.conn.Close() }
