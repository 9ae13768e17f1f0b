package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is one database server.
type server struct {
	id, zone       string
	group          *group
	address        string
	slots          int
	maxConnections int
	work           time.Duration // of a read, write or commit
	born           int64

	// Guarded by the group's mutex.
	log        []logEntry
	received   []time.Time
	pausedTerm uint64 // newest term in which replication was paused; zero if it runs
	resumed    time.Time
	state      string
	busy       int
	gone       bool
	ran        map[string]time.Time // statements of callers, by ID

	connMutex sync.Mutex
	listener  net.Listener
	conns     map[*session]struct{}
	refusing  bool
	silent    bool // nothing passes between the proxies and the server
}

func (server *server) listen() error {
	address := server.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server.connMutex.Lock()
	server.listener, server.address, server.refusing = listener, listener.Addr().String(), false
	server.connMutex.Unlock()
	go server.accept(listener)
	return nil
}

// refuse cuts the proxies off from the server: open connections are reset and new ones are refused. Replication goes on.
func (server *server) refuse() {
	server.connMutex.Lock()
	defer server.connMutex.Unlock()
	server.refusing = true
	_ = server.listener.Close()
	for session := range server.conns {
		if tcp, ok := session.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = session.conn.Close()
	}
}

// cut cuts the proxies off from the server without a reset: what they send meanwhile arrives after the cut, unless they close the
// connection before.
func (server *server) cut(length time.Duration) {
	server.setSilent(true)
	time.AfterFunc(length, func() { server.setSilent(false) })
}

func (server *server) setSilent(silent bool) {
	server.connMutex.Lock()
	defer server.connMutex.Unlock()
	server.silent = silent
}

// await waits until the server is not cut off.
func (server *server) await() {
	for {
		server.connMutex.Lock()
		silent := server.silent
		server.connMutex.Unlock()
		if !silent {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// leave ends the server.
func (server *server) leave() {
	group := server.group
	group.mutex.Lock()
	if index := slices.Index(group.servers, server); index >= 0 {
		group.servers = slices.Delete(group.servers, index, index+1)
	}
	server.gone = true
	group.mutex.Unlock()
	server.refuse()
}

func (server *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session := &session{server: server, conn: conn, state: "I", lines: make(chan string, 64)}
		session.reset()
		server.connMutex.Lock()
		server.conns[session] = struct{}{}
		server.connMutex.Unlock()
		go func() {
			session.serve()
			_ = conn.Close()
			server.connMutex.Lock()
			delete(server.conns, session)
			server.connMutex.Unlock()
		}()
	}
}

func (server *server) connections() int {
	server.connMutex.Lock()
	defer server.connMutex.Unlock()
	return len(server.conns)
}

// applied returns the number of log entries that reads see; the caller holds the group's mutex.
func (server *server) applied() int {
	if server.group.primary == server {
		return server.group.confirmed
	}
	count := len(server.log)
	for count > 0 && time.Since(server.received[count-1]) < server.group.applyLag {
		count--
	}
	return count
}

func (server *server) position(number int) string {
	term := uint64(1)
	if number > 0 {
		term = server.log[number-1].term
	}
	return fmt.Sprintf("%d.%d", term, number)
}

// session is a proxy's connection to a server.
type session struct {
	server   *server
	conn     net.Conn
	state    string
	readOnly bool
	values   map[string]string
	prepared map[string]string
	writes   []logEntry
	lines    chan string
	closed   atomic.Bool
}

func (session *session) reset() {
	session.values, session.prepared = map[string]string{}, map[string]string{}
}

// next returns the next line that arrives, after the end of a cut; false if the proxy has closed the connection.
func (session *session) next() (string, bool) {
	line, open := <-session.lines
	if !open {
		return "", false
	}
	session.server.await()
	return line, !session.closed.Load()
}

// read reads lines until the proxy closes the connection.
func (session *session) read() {
	reader := bufio.NewReader(session.conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			session.closed.Store(true)
			close(session.lines)
			return
		}
		session.lines <- line
	}
}

func (session *session) write(text string) bool {
	session.server.await()
	_, err := session.conn.Write([]byte(text))
	return err == nil
}

func (session *session) serve() {
	go session.read()
	line, open := session.next()
	if !open {
		return
	}
	server := session.server
	fields := strings.Fields(line)
	switch {
	case len(fields) < 3 || fields[0] != "START":
		_, _ = fmt.Fprint(session.conn, "ERR MALFORMED\r\n")
		return
	case fields[1] != server.group.name || len(fields) > 3 && fields[3] != server.id:
		_, _ = fmt.Fprintf(session.conn, "ERR MISROUTED %s\r\n", server.id)
		return
	case server.connections() > server.maxConnections:
		_, _ = fmt.Fprintf(session.conn, "ERR TOOMANY %s\r\n", server.id)
		return
	}
	time.Sleep(handshakeTime)
	server.group.mutex.Lock()
	position := server.position(server.applied())
	server.group.mutex.Unlock()
	if !session.write(fmt.Sprintf("READY I %s\r\n", position)) {
		return
	}
	for {
		line, open := session.next()
		if !open {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if !session.write(session.answer(parts[1], parts[2])) {
			return
		}
	}
}

const handshakeTime = 12 * time.Millisecond

func (session *session) answer(id, text string) string {
	server, group := session.server, session.server.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	rows, last := session.execute(id, text)
	return rows + last + "\r\nREADY " + session.state + " " + server.position(server.applied()) + "\r\n"
}

func (session *session) fail(code string) (string, string) {
	if session.state == "T" {
		session.state = "E"
	}
	return "", "ERR " + code + " " + session.server.id
}

// execute runs a statement; the caller holds the group's mutex.
func (session *session) execute(id, text string) (rows, last string) {
	server, group := session.server, session.server.group
	keyword, rest, _ := strings.Cut(text, " ")
	if session.state == "E" && keyword != "ROLLBACK" {
		return session.fail("MALFORMED")
	}
	if keyword == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		_, numberText, _ := strings.Cut(position, ".")
		number, err := strconv.Atoi(numberText)
		if err != nil || number > server.applied() {
			return session.fail("LAGGING")
		}
		keyword, rest, _ = strings.Cut(statement, " ")
	}
	switch keyword {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		session.values[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		session.prepared[name] = shape
	case "DEALLOC":
		delete(session.prepared, rest)
	case "RESET":
		session.reset()
	case "BEGIN":
		if rest != "READ" && group.primary != server {
			return session.fail("READONLY")
		}
		session.state, session.readOnly, session.writes = "T", rest == "READ", nil
	case "ROLLBACK":
		session.state, session.writes = "I", nil
	case "STATUS":
		return session.status(), "DONE -"
	case "PAUSE":
		term, err := strconv.ParseUint(rest, 10, 64)
		if err == nil && term > group.term && server != group.primary {
			server.pausedTerm = term
		}
		group.record.note("server %s: PAUSE %s", server.id, rest)
		return session.status(), "DONE -"
	case "RESUME":
		server.pausedTerm, server.resumed = 0, time.Now()
		group.record.note("server %s: RESUME", server.id)
		return session.status(), "DONE -"
	case "READ", "WRITE", "EXEC", "COMMIT":
		return session.run(id, keyword, rest)
	default:
		return session.fail("MALFORMED")
	}
	return "", "DONE -"
}

func (session *session) status() string {
	server, group := session.server, session.server.group
	role := "replica"
	if group.primary == server {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n", role, group.term, server.position(len(server.log)), server.pausedTerm, server.busy,
		server.connections())
}

// denied reports whether a statement gets READONLY.
func (session *session) denied(keyword string) bool {
	leads := session.server.group.primary == session.server
	plain := session.state == "T" && !session.readOnly
	return keyword == "WRITE" && (!leads || session.readOnly && session.state == "T") ||
		plain && !leads && (keyword != "COMMIT" || len(session.writes) > 0)
}

// run runs a statement that occupies a slot; it releases the group's mutex while the statement runs.
func (session *session) run(id, keyword, rest string) (rows, last string) {
	server, group := session.server, session.server.group
	if server.busy >= server.slots {
		return session.fail("BUSY")
	}
	if keyword == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := session.prepared[name]
		if !known {
			return session.fail("NOSTMT")
		}
		keyword, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if session.denied(keyword) {
		return session.fail("READONLY")
	}
	server.busy++
	server.ran[id] = time.Now()
	group.mutex.Unlock()
	time.Sleep(server.work)
	group.mutex.Lock()
	server.busy--
	if session.denied(keyword) {
		return session.fail("READONLY")
	}
	item, data, _ := strings.Cut(rest, " ")
	switch keyword {
	case "READ":
		rows = "ROW none\r\n"
		for i := server.applied() - 1; i >= 0; i-- {
			if server.log[i].item == item {
				rows = "ROW " + server.log[i].data + "\r\n"
				break
			}
		}
	case "WRITE":
		session.writes = append(session.writes, logEntry{id: id, item: item, data: data})
	}
	if keyword == "COMMIT" || keyword == "WRITE" && session.state == "I" {
		writes := session.writes
		session.writes, session.state = nil, "I"
		if len(writes) > 0 {
			for i := range writes {
				writes[i].id = id
			}
			if code := group.commit(server, writes); code != "" {
				return session.fail(code)
			}
		}
	}
	return rows, "DONE " + server.id + "." + id
}
