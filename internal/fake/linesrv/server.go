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
	defaultMaxConnections = 20
	defaultSlots          = 5 // concurrent statements
)

// Server is one backend server; its exported fields are set before its first use.
type Server struct {
	ID             spool.Server
	Address        string
	MaxConnections int
	Slots          int
	WorkTime       time.Duration // duration of a read, write or commit
	Lagging        bool          // receives log entries without applying them; SetLagging changes it after the first use

	group       *Group
	mutex       sync.Mutex
	conns       map[net.Conn]struct{}
	lastArrival Arrival

	// Guarded by the group's mutex.
	receivedEntries    int
	appliedEntries     int
	pausedTerm         uint64 // highest term in which replication was paused; zero if it runs
	down               bool
	deaf               bool // receives no log entries
	answersToLose      int  // number of next answers that are lost after the statement ran
	statementsToRefuse int  // number of next statements that are refused as BUSY
	busySlots          int

	listener net.Listener
}

// Arrival is a line that a server received.
type Arrival struct {
	Line string
	At   time.Time
}

// LastArrival returns the newest line that the server received from any client, handshakes included.
func (server *Server) LastArrival() Arrival {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.lastArrival
}

func (server *Server) recordArrival(line string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.lastArrival = Arrival{Line: strings.TrimSpace(line), At: time.Now()}
}

// Start listens and serves; after Kill it listens at the same address again.
func (server *Server) Start() error {
	address := server.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if server.Address == "" { // a later start keeps it, since others may read it meanwhile
		server.Address = listener.Addr().String()
	}
	server.mutex.Lock()
	server.listener, server.conns = listener, map[net.Conn]struct{}{}
	server.mutex.Unlock()
	server.group.mutex.Lock()
	server.down = false
	server.group.mutex.Unlock()
	go server.accept(listener)
	return nil
}

// Kill stops the server and closes its connections; a replica that starts again receives the log even if it was paused.
func (server *Server) Kill() {
	server.group.mutex.Lock()
	server.down, server.pausedTerm = true, 0
	server.group.mutex.Unlock()
	server.Refuse()
}

// Refuse resets the connections of clients and refuses new ones until Start; the server stays up and receives the log.
func (server *Server) Refuse() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = server.listener.Close()
	for conn := range server.conns {
		_ = conn.Close()
	}
}

// LoseAnswers makes the next statements take effect without an answer; their connections are closed.
func (server *Server) LoseAnswers(count int) {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.answersToLose = count
}

// RefuseBusy makes the server refuse the next statements as BUSY.
func (server *Server) RefuseBusy(count int) {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.statementsToRefuse = count
}

// OpenConnections returns the number of open connections.
func (server *Server) OpenConnections() int {
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
	server.recordArrival(line)
	fields := strings.Fields(line)
	if refusal := server.checkStart(fields); refusal != "" {
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
		server.recordArrival(line)
		answer, alive := session.handle(strings.TrimRight(line, "\r\n"))
		if !alive {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (server *Server) checkStart(fields []string) string {
	switch {
	case len(fields) < 3 || fields[0] != "START":
		return "MALFORMED"
	case fields[1] != server.group.Name || len(fields) > 3 && fields[3] != string(server.ID):
		return "MISROUTED " + string(server.ID)
	case server.OpenConnections() > server.MaxConnections:
		return "TOOMANY " + string(server.ID)
	}
	return ""
}

// Down returns whether the server was killed and not started again.
func (server *Server) Down() bool {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	return server.down
}

// StopReceiving makes a replica receive no further log entries, as if its connection to the primary hung.
func (server *Server) StopReceiving() {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.deaf = true
}

// SetLagging sets whether received log entries stay unapplied; false applies those received so far.
func (server *Server) SetLagging(lagging bool) {
	server.group.mutex.Lock()
	defer server.group.mutex.Unlock()
	server.Lagging = lagging
	if !lagging {
		server.appliedEntries = server.receivedEntries
	}
}
