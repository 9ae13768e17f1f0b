package linecl

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	answerTimeout = 5 * time.Second // for any line
	// Closed stands for the end of the connection in place of a line, a code or a state.
	Closed = "closed"
	// Done is the code of a statement that succeeded.
	Done = "DONE"
)

// sequence numbers the statements of all clients of a process, so that no id is used twice.
var sequence atomic.Uint64

// Reply is the answer to a statement.
type Reply struct {
	Row   string // the last one
	Code  string // Done, the code of an error, or Closed
	Text  string // of an error
	State string // I, T, E or Closed
}

// Client is a connected caller; it is not safe for concurrent use.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	Last   string // id of the newest statement
}

// Dial connects to a proxy.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// New returns a client on a connection.
func New(conn net.Conn) *Client {
	return &Client{conn: conn, reader: bufio.NewReader(conn)}
}

// Open begins a session and returns the answer.
func (client *Client) Open(route, key string) string {
	client.Send(strings.TrimSpace("START " + route + " " + key))
	return client.Line()
}

// Send writes a line; an error shows when the next one is read.
func (client *Client) Send(line string) {
	_, _ = client.conn.Write([]byte(line + "\r\n"))
}

// Line reads the next line, or returns Closed.
func (client *Client) Line() string {
	_ = client.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	line, err := client.reader.ReadString('\n')
	if err != nil {
		return Closed
	}
	return strings.TrimRight(line, "\r\n")
}

// Ask runs a statement.
func (client *Client) Ask(text string) Reply {
	client.Last = fmt.Sprintf("id%d", sequence.Add(1))
	client.Send("QUERY " + client.Last + " " + text)
	reply := Reply{Code: Closed, State: Closed}
	for {
		line := client.Line()
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			reply.Row = rest
		case "DONE":
			reply.Code = Done
		case "ERR":
			reply.Code, reply.Text, _ = strings.Cut(rest, " ")
		case "READY":
			reply.State, _, _ = strings.Cut(rest, " ")
			return reply
		default:
			return reply
		}
	}
}

// Close ends the connection without a word.
func (client *Client) Close() { _ = client.conn.Close() }
