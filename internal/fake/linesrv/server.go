package linesrv

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultLimit = 20 // connections
	defaultSlots = 5  // statements at a time
)

// Server is one backend server; its exported fields are set before it is used.
type Server struct {
	ID      spool.Server
	Address string
	Limit   int
	Slots   int
	Work    time.Duration // of a read, write or commit
	Lagging bool          // receives, but does not apply; changed by SetLagging once it is used

	group *Group
	mutex sync.Mutex
	conns map[net.Conn]struct{}

	// Guarded by the group's mutex.
	received int
	applied  int
	paused   uint64 // highest term that it was paused for; zero if it receives
	down     bool
	lose     int // answers that get lost after the statement ran
	refuse   int // statements that are refused as busy
	busy     int

	listener net.Listener
}

// Start listens, again at the same address after Kill.
func (server *Server) Start() error {
	address := server.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server.Address = listener.Addr().String()
	server.mutex.Lock()
	server.listener, server.conns = listener, map[net.Conn]struct{}{}
	server.mutex.Unlock()
	server.group.mutex.Lock()
	server.down = false
	server.group.mutex.Unlock()
	go server.accept(listener)
	return nil
}

// Kill ends the server and resets its connections.
func (server *Server) Kill() {
	server.group.mutex.Lock()
	server.down = true
	server.group.mutex.Unlock()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = server.listener.Close()
	for conn := range server.conns {
		_ = conn.Close()
	}
}

// LoseAnswers makes the next statements run without an answer and end their connections.
func (server *Server) LoseAnswers(count int) {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.lose = count
}

// RefuseBusy makes the next statements be refused.
func (server *Server) RefuseBusy(count int) {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.refuse = count
}

// Conns returns the number of open connections.
func (server *Server) Conns() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.conns)
}

func (server *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		server.conns[conn] = struct{}{}
		server.mutex.Unlock()
		go func() {
			server.serve(conn)
			_ = conn.Close()
			server.mutex.Lock()
			delete(server.conns, conn)
			server.mutex.Unlock()
		}()
	}
}

func (server *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if refusal := server.greet(fields); refusal != "" {
		_, _ = fmt.Fprintf(conn, "ERR %s\r\n", refusal)
		return
	}
	session := &session{server: server, team: fields[2], state: "I"}
	session.reset()
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", session.position())
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer, alive := session.answer(strings.TrimRight(line, "\r\n"))
		if !alive {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (server *Server) greet(fields []string) string {
	switch {
	case len(fields) < 3 || fields[0] != "START":
		return "MALFORMED"
	case fields[1] != server.group.Name || len(fields) > 3 && fields[3] != string(server.ID):
		return "MISROUTED " + string(server.ID)
	case server.Conns() > server.Limit:
		return "TOOMANY " + string(server.ID)
	}
	return ""
}

// Down tells if the server was killed.
func (server *Server) Down() bool {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	return server.down
}

// SetLagging makes the server receive without applying, or apply what it has received.
func (server *Server) SetLagging(lagging bool) {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.Lagging = lagging
	if !lagging {
		server.applied = server.received
	}
}
