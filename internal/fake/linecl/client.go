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
	answerTimeout = 5 * time.Second // for connecting and for each line
	// Closed is returned as line, code or state when the connection has ended or no line arrived within answerTimeout.
	Closed = "closed"
	// Done is the code of a statement that succeeded.
	Done = "DONE"
)

// statementCount counts the statements of all clients in the process, so that their IDs are unique.
var statementCount atomic.Uint64

// Reply is the answer to a statement.
type Reply struct {
	Row       string // last row of the result
	Code      string // Done, the code of an error, or Closed
	ErrorText string // message of the error
	State     string // idle (I), in a transaction (T), in a failed one (E), or Closed
}

// Client is a caller's connection; it is not safe for concurrent use.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	LastID string // ID of the latest statement
}

// Dial connects to a proxy; it fails after 5 seconds.
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

// Open begins a session on a route with an API key and returns the answer.
func (client *Client) Open(route, key string) string {
	client.SendLine(strings.TrimSpace("START " + route + " " + key))
	return client.ReadLine()
}

// SendLine writes a line; a write error shows as Closed when the next line is read.
func (client *Client) SendLine(line string) {
	_, _ = client.conn.Write([]byte(line + "\r\n"))
}

// ReadLine returns the next line, or Closed after an error or 5 seconds.
func (client *Client) ReadLine() string {
	_ = client.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	line, err := client.reader.ReadString('\n')
	if err != nil {
		return Closed
	}
	return strings.TrimRight(line, "\r\n")
}

// Query runs a statement and returns its answer.
func (client *Client) Query(text string) Reply {
	client.LastID = fmt.Sprintf("id%d", statementCount.Add(1))
	client.SendLine("QUERY " + client.LastID + " " + text)
	reply := Reply{Code: Closed, State: Closed}
	for {
		line := client.ReadLine()
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			reply.Row = rest
		case "DONE":
			reply.Code = Done
		case "ERR":
			reply.Code, reply.ErrorText, _ = strings.Cut(rest, " ")
		case "READY":
			reply.State, _, _ = strings.Cut(rest, " ")
			return reply
		default:
			return reply
		}
	}
}

// Close closes the connection without a closing message.
func (client *Client) Close() { _ = client.conn.Close() }
