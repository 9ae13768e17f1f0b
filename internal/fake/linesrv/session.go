package linesrv

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

// session is a connection to a server.
type session struct {
	server   *Server
	team     string
	state    string // I, T or E
	readOnly bool
	values   map[string]string
	prepared map[string]string
	writes   []write
}

func (session *session) reset() {
	session.values, session.prepared = map[string]string{}, map[string]string{}
}

func (session *session) position() string {
	group := session.server.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.position(session.server.applied)
}

// answer runs one message and tells if the connection goes on.
func (session *session) answer(line string) (string, bool) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return "", false
	}
	group := session.server.group
	group.mutex.Lock()
	rows, verdict := session.run(parts[1], parts[2])
	lost := session.server.lose > 0 && parts[1] != "-"
	if lost {
		session.server.lose--
	}
	place := group.position(session.server.applied)
	group.mutex.Unlock()
	return rows + verdict + "\r\nREADY " + session.state + " " + place + "\r\n", !lost
}

// run carries a statement out; the caller holds the group's mutex.
func (session *session) run(id, text string) (rows, verdict string) {
	word, rest, _ := strings.Cut(text, " ")
	if session.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return "", "ERR MALFORMED failed"
	}
	if word == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if session.lacks(position) {
			return "", session.fail("LAGGING")
		}
		word, rest, _ = strings.Cut(statement, " ")
	}
	switch word {
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
		return "", session.begin(rest)
	case "ROLLBACK":
		session.state, session.writes = "I", nil
	case "READ", "WRITE", "EXEC", "COMMIT":
		return session.work(id, word, rest)
	case "STATUS", "PAUSE", "RESUME":
		return session.order(word, rest), "DONE -"
	default:
		return "", session.fail("MALFORMED")
	}
	return "", "DONE -"
}

func (session *session) lacks(position string) bool {
	_, number, _ := strings.Cut(position, ".")
	entries, err := strconv.Atoi(number)
	return err != nil || entries > session.server.applied
}

// fail answers an error, which fails a transaction.
func (session *session) fail(code string) string {
	if session.state == "T" {
		session.state = "E"
	}
	return "ERR " + code + " " + string(session.server.ID)
}

func (session *session) begin(mode string) string {
	if mode != "READ" && session.server.group.primary != session.server {
		return session.fail("READONLY")
	}
	session.state, session.readOnly = "T", mode == "READ"
	return "DONE -"
}

// work runs what takes a slot.
func (session *session) work(id, word, rest string) (rows, verdict string) {
	server, group := session.server, session.server.group
	if server.refuse > 0 || server.busy >= server.Slots {
		server.refuse = max(0, server.refuse-1)
		return "", session.fail("BUSY")
	}
	shape := ""
	if word == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		known := false
		if shape, known = session.prepared[name]; !known {
			return "", session.fail("NOSTMT")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if session.denied(word) {
		return "", session.fail("READONLY")
	}
	server.busy++
	group.mutex.Unlock()
	time.Sleep(server.Work)
	group.mutex.Lock()
	server.busy--
	if server.down || session.denied(word) { // killed or replaced meanwhile
		return "", session.fail("READONLY")
	}
	group.runs = append(group.runs, Run{
		Server: server.ID, ID: id, Text: word + " " + rest, Team: session.team, Values: maps.Clone(session.values),
		Shape: shape, InTx: session.state == "T", At: time.Now(),
	})
	return session.finish(id, word, rest)
}

// denied tells if a statement needs a primary and the server is none.
func (session *session) denied(word string) bool {
	leads := session.server.group.primary == session.server
	plain := session.state == "T" && !session.readOnly
	return word == "WRITE" && (!leads || session.readOnly && session.state == "T") ||
		plain && !leads && (word != "COMMIT" || len(session.writes) > 0)
}

func (session *session) finish(id, word, rest string) (rows, verdict string) {
	group := session.server.group
	item, data, _ := strings.Cut(rest, " ")
	switch word {
	case "READ":
		rows = fmt.Sprintf("ROW %s\r\n", group.value(session.server.applied, item))
	case "WRITE":
		session.writes = append(session.writes, write{item: item, data: data})
	}
	if word == "COMMIT" || word == "WRITE" && session.state == "I" {
		if len(session.writes) > 0 && !group.commit(session.writes) && len(group.servers) > 1 {
			session.writes, session.state = nil, "I"
			return "", "ERR TIMEOUT " + string(session.server.ID)
		}
		session.writes, session.state = nil, "I"
	}
	return rows, "DONE digest-" + string(session.server.ID) + "-" + id
}

// value returns the newest data of an item within a number of entries.
func (group *Group) value(entries int, item string) string {
	for i := entries - 1; i >= 0; i-- {
		if group.log[i].item == item {
			return group.log[i].data
		}
	}
	return "none"
}

// order carries out a statement of a supervisor and returns the status row.
func (session *session) order(word, rest string) string {
	server, group := session.server, session.server.group
	term, err := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && err == nil && term > group.term && server != group.primary:
		server.paused = max(server.paused, term)
	case word == "RESUME":
		server.paused = 0
		server.received = len(group.log)
		if !server.Lagging {
			server.applied = server.received
		}
	}
	role := "replica"
	if group.primary == server {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n", role, group.term, group.position(server.received), server.paused,
		server.busy, server.Conns())
}
