package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	hop         = 20 * time.Millisecond  // one way between the geos of the sheet
	promoteTime = 600 * time.Millisecond // from a call of /promote until the server leads
	applyLag    = 60 * time.Millisecond  // until a replica has applied what it received
	heartbeat   = 1200 * time.Millisecond
	workTime    = 8 * time.Millisecond
	slots       = 3
	maxConns    = 21
)

// entry is a commit in a log.
type entry struct {
	term, number uint64
	id           string // of the statement that committed
	item, data   string
	at           time.Time // when the present holder got it
}

// server is a database server of the group.
type server struct {
	id, zone string
	address  string
	log      []entry
	term     uint64 // newest term that it has heard of
	paused   uint64
	busy     int
	conns    int
	cut      bool // partitioned from the other servers of the group
	seq      int
	born     int64
}

// group is one service: a primary and its replicas.
type group struct {
	name    string
	store   *store
	record  *record
	mutex   sync.Mutex
	changed *sync.Cond
	servers []*server
	primary *server
	term    uint64
	fence   uint64
	orders  int
	holder  string // that gave the last order
	lost    []string
	acked   map[string]time.Time // by the id of the statement
}

func newGroup(name string, store *store, record *record) *group {
	group := &group{name: name, store: store, record: record, term: 1, acked: map[string]time.Time{}}
	group.changed = sync.NewCond(&group.mutex)
	return group
}

// add starts a server.
func (group *group) add(id, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &server{id: id, zone: zone, address: listener.Addr().String(), term: 1, born: time.Now().UnixMilli()}
	group.mutex.Lock()
	group.servers = append(group.servers, server)
	if group.primary == nil {
		group.primary = server
	}
	group.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go group.serve(server, conn)
		}
	}()
	go group.receive(server)
	go func() {
		for {
			group.register(server)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// register writes the server's entry.
func (group *group) register(server *server) {
	group.mutex.Lock()
	server.seq++
	role := "replica"
	if group.primary == server {
		role = "primary"
	}
	spec := map[string]any{
		"service": group.name, "address": server.address, "zone": server.zone, "version": "v1", "slots": slots, "state": "ready",
		"warmup-left-ms": 0, "seq": server.seq, "born": server.born, "db-role": role,
	}
	group.mutex.Unlock()
	group.store.write("servers", server.id, spec)
}

// receive copies the primary's log to a replica, each commit one hop after it was made.
func (group *group) receive(server *server) {
	for {
		time.Sleep(time.Millisecond)
		group.mutex.Lock()
		primary := group.primary
		if primary == nil || primary == server || server.cut || primary.cut || server.paused > group.term {
			group.mutex.Unlock()
			continue
		}
		server.term = group.term
		common := 0
		for common < len(server.log) && common < len(primary.log) && server.log[common].id == primary.log[common].id {
			common++
		}
		server.log = server.log[:common]
		for common < len(primary.log) && time.Since(primary.log[common].at) >= hop {
			next := primary.log[common]
			next.at = time.Now()
			server.log = append(server.log, next)
			common++
		}
		group.changed.Broadcast()
		group.mutex.Unlock()
	}
}

func position(log []entry) string {
	if len(log) == 0 {
		return "1.0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// position returns the position that a server tells its clients: a primary's newest commit that a replica has received.
func (group *group) position(server *server) string {
	if server != group.primary {
		return position(server.log)
	}
	confirmed := 0
	for _, replica := range group.servers {
		if replica == server {
			continue
		}
		count := min(len(replica.log), len(server.log))
		for count > confirmed && replica.log[count-1].id != server.log[count-1].id {
			count--
		}
		confirmed = max(confirmed, count)
	}
	return position(server.log[:confirmed])
}

// session is a connection to a server.
type session struct {
	group  *group
	server *server
	state  string
	term   uint64 // of the open transaction
	writes []entry
	plain  bool
}

func (group *group) serve(server *server, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != group.name || len(fields) > 3 && fields[3] != server.id {
		_, _ = fmt.Fprintf(conn, "ERR MISROUTED %s\r\n", server.id)
		return
	}
	group.mutex.Lock()
	full := server.conns >= maxConns
	if !full {
		server.conns++
	}
	at := group.position(server)
	group.mutex.Unlock()
	if full {
		_, _ = fmt.Fprintf(conn, "ERR TOOMANY %s\r\n", server.id)
		return
	}
	defer func() {
		group.mutex.Lock()
		server.conns--
		group.mutex.Unlock()
	}()
	time.Sleep(12*time.Millisecond + 2*hop)
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", at)
	session := &session{group: group, server: server, state: "I"}
	lines, answers := make(chan message, 64), make(chan message, 64)
	defer close(answers)
	go readLines(reader, lines)
	go writeAnswers(conn, answers)
	for line := range lines {
		time.Sleep(time.Until(line.at.Add(hop)))
		parts := strings.SplitN(strings.TrimRight(line.text, "\r\n"), " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		answer := session.run(parts[1], parts[2])
		group.mutex.Lock()
		at := group.position(server)
		group.mutex.Unlock()
		answers <- message{fmt.Sprintf("%s\r\nREADY %s %s\r\n", answer, session.state, at), time.Now()}
	}
}

// message is a line or an answer on its way between two geos.
type message struct {
	text string
	at   time.Time
}

func readLines(reader *bufio.Reader, lines chan<- message) {
	defer close(lines)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		lines <- message{line, time.Now()}
	}
}

func writeAnswers(conn net.Conn, answers <-chan message) {
	for answer := range answers {
		time.Sleep(time.Until(answer.at.Add(hop)))
		_, _ = conn.Write([]byte(answer.text))
	}
}

func (session *session) fail(code string) string {
	if session.state == "T" {
		session.state = "E"
	}
	return "ERR " + code + " " + session.server.id
}

// run executes a statement and returns rows and verdict.
func (session *session) run(id, text string) string {
	group, server := session.group, session.server
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		at, statement, _ := strings.Cut(rest, " ")
		if !session.holds(at) {
			return session.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	if session.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return "ERR MALFORMED the transaction failed"
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	leads := group.primary == server
	switch word {
	case "BEGIN":
		if rest != "READ" && !leads {
			return session.fail("READONLY")
		}
		session.state, session.plain, session.writes, session.term = "T", rest != "READ", nil, group.term
		return "DONE -"
	case "ROLLBACK":
		session.state, session.writes = "I", nil
		return "DONE -"
	case "SET", "PREPARE", "DEALLOC", "RESET":
		return "DONE -"
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return session.control(word, rest)
	case "READ", "WRITE", "COMMIT":
		return session.work(id, word, rest)
	}
	return session.fail("MALFORMED")
}

// work runs a read, write or commit in a slot; the caller holds the mutex.
func (session *session) work(id, word, rest string) string {
	group, server := session.group, session.server
	if server.busy >= slots {
		return session.fail("BUSY")
	}
	server.busy++
	group.mutex.Unlock()
	time.Sleep(workTime)
	group.mutex.Lock()
	server.busy--
	leads := group.primary == server && (session.state != "T" || session.term == group.term)
	inPlain := session.state == "T" && session.plain
	if word == "WRITE" && !leads || inPlain && !leads && (word != "COMMIT" || len(session.writes) > 0) {
		return session.fail("READONLY")
	}
	item, data, _ := strings.Cut(rest, " ")
	switch word {
	case "READ":
		group.record.add("run", server.id, id, word, position(server.log))
		value := "none"
		for _, entry := range server.log {
			if entry.item == item {
				value = entry.data
			}
		}
		return "ROW " + value + "\r\nDONE " + id + "." + server.id
	case "WRITE":
		session.writes = append(session.writes, entry{id: id, item: item, data: data})
		if session.state == "T" {
			return "DONE " + id + "." + server.id
		}
	}
	writes := session.writes
	session.writes, session.state = nil, "I"
	if len(writes) == 0 {
		return "DONE " + id + "." + server.id
	}
	return session.commit(id, writes)
}

// commit appends to the log and waits until a replica has received it.
func (session *session) commit(id string, writes []entry) string {
	group, server := session.group, session.server
	term := group.term
	for _, write := range writes {
		write.term, write.at = term, time.Now()
		write.number = uint64(len(server.log) + 1)
		if write.id != id {
			write.id = id + "/" + write.id
		}
		server.log = append(server.log, write)
	}
	last := server.log[len(server.log)-1]
	group.record.add("commit", server.id, id, fmt.Sprintf("%d.%d", last.term, last.number), "")
	for {
		if group.primary != server || group.term != term {
			return "ERR TIMEOUT " + server.id // it lost the lead before a replica confirmed
		}
		for _, replica := range group.servers {
			if replica != server && len(replica.log) >= int(last.number) && replica.log[last.number-1].id == last.id {
				return "DONE " + id + "." + server.id
			}
		}
		group.changed.Wait()
	}
}

func (session *session) holds(at string) bool {
	group, server := session.group, session.server
	termText, numberText, _ := strings.Cut(at, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.ParseUint(numberText, 10, 64)
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var newest entry
	for _, entry := range server.log {
		if group.primary == server || time.Since(entry.at) >= applyLag {
			newest = entry
		}
	}
	return newest.term > term || newest.term == term && newest.number >= number || number == 0
}

// control runs a supervisor's command; the caller holds the mutex.
func (session *session) control(word, rest string) string {
	group, server := session.group, session.server
	term, _ := strconv.ParseUint(rest, 10, 64)
	leads := group.primary == server
	if leads {
		server.term = group.term
	}
	switch {
	case word == "PAUSE" && !leads && term > server.term:
		server.paused = max(server.paused, term)
	case word == "RESUME":
		server.paused = 0
	}
	if word != "STATUS" {
		group.record.add("control", server.id, word, rest, "")
	}
	role := "replica"
	if leads {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\nDONE -", role, server.term, position(server.log), server.paused, server.busy, server.conns)
}

// handlePromote serves POST /promote of the platform.
func (group *group) handlePromote(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(request.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := request.Header.Get("X-Duty-Holder")
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var chosen *server
	for _, server := range group.servers {
		if server.id == body.ID {
			chosen = server
		}
	}
	accepted := token >= group.fence && chosen != nil
	group.record.add("order", holder, body.ID, strconv.FormatUint(token, 10), fmt.Sprint(accepted))
	if !accepted {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	group.fence = token
	if chosen == group.primary {
		return
	}
	group.orders++
	group.holder = holder
	time.AfterFunc(promoteTime, func() { group.promote(chosen) })
}

// promote makes a server lead the next term with what it has received.
func (group *group) promote(chosen *server) {
	group.mutex.Lock()
	if group.primary == chosen {
		group.mutex.Unlock()
		return
	}
	held := map[string]bool{}
	for _, entry := range chosen.log {
		held[entry.id] = true
		id, _, _ := strings.Cut(entry.id, "/")
		held[id] = true
	}
	for id, at := range group.acked {
		if !held[id] {
			group.lost = append(group.lost, id)
			group.record.add("LOST", chosen.id, id, "acked "+at.Format("15:04:05.000"), position(chosen.log))
			delete(group.acked, id)
		}
	}
	old := group.primary
	group.term++
	group.primary = chosen
	chosen.term = group.term
	for _, server := range group.servers {
		server.paused = 0
	}
	group.record.add("lead", chosen.id, fmt.Sprintf("term %d at %s", group.term, position(chosen.log)), "after "+old.id, position(old.log))
	group.changed.Broadcast()
	group.mutex.Unlock()
	group.register(chosen)
	group.register(old)
}

// ack records that a client was told that its commit is kept.
func (group *group) ack(id string) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.acked[id] = time.Now()
}
