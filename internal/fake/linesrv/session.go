package linesrv

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

// session is a client's connection to a server.
type session struct {
	server   *Server
	team     string
	state    string // idle (I), in a transaction (T) or in a failed one (E)
	readOnly bool
	values   map[string]string
	prepared map[string]string
	writes   []logEntry
}

func (session *session) reset() {
	session.values, session.prepared = map[string]string{}, map[string]string{}
}

func (session *session) position() string {
	group := session.server.group
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.position(session.server.appliedEntries)
}

// handle executes one message and returns the answer and whether the connection stays open.
func (session *session) handle(line string) (string, bool) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return "", false
	}
	group := session.server.group
	group.mutex.Lock()
	rows, finalLine := session.execute(parts[1], parts[2])
	lost := session.server.answersToLose > 0 && parts[1] != "-"
	if lost {
		session.server.answersToLose--
	}
	position := group.position(session.server.appliedEntries)
	group.mutex.Unlock()
	return rows + finalLine + "\r\nREADY " + session.state + " " + position + "\r\n", !lost
}

// execute runs a statement; the caller holds the group's mutex.
func (session *session) execute(id, text string) (rows, finalLine string) {
	keyword, rest, _ := strings.Cut(text, " ")
	if session.state == "E" && keyword != "ROLLBACK" && keyword != "COMMIT" {
		return "", "ERR MALFORMED failed"
	}
	if keyword == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if session.isBehind(position) {
			return "", session.fail("LAGGING")
		}
		keyword, rest, _ = strings.Cut(statement, " ")
	}
	switch keyword {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		session.values[name] = value
	case "PREPARE":
		name, preparedText, _ := strings.Cut(rest, " ")
		session.prepared[name] = preparedText
	case "DEALLOC":
		delete(session.prepared, rest)
	case "RESET":
		session.reset()
	case "BEGIN":
		return "", session.begin(rest)
	case "ROLLBACK":
		session.state, session.writes = "I", nil
	case "READ", "WRITE", "EXEC", "COMMIT":
		return session.executeInSlot(id, keyword, rest)
	case "STATUS", "PAUSE", "RESUME":
		return session.executeControl(keyword, rest), "DONE -"
	default:
		return "", session.fail("MALFORMED")
	}
	return "", "DONE -"
}

func (session *session) isBehind(position string) bool {
	_, number, _ := strings.Cut(position, ".")
	entries, err := strconv.Atoi(number)
	return err != nil || entries > session.server.appliedEntries
}

// fail returns an error answer and marks an open transaction as failed.
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

// executeInSlot runs a statement that occupies a slot; it releases the group's mutex while the statement runs.
func (session *session) executeInSlot(id, keyword, rest string) (rows, finalLine string) {
	server, group := session.server, session.server.group
	if server.statementsToRefuse > 0 || server.busySlots >= server.Slots {
		server.statementsToRefuse = max(0, server.statementsToRefuse-1)
		return "", session.fail("BUSY")
	}
	preparedText := ""
	if keyword == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		known := false
		if preparedText, known = session.prepared[name]; !known {
			return "", session.fail("NOSTMT")
		}
		keyword, _, _ = strings.Cut(preparedText, " ")
		rest = arguments
	}
	if session.deniedAsReadOnly(keyword) {
		return "", session.fail("READONLY")
	}
	server.busySlots++
	group.mutex.Unlock()
	time.Sleep(server.WorkTime)
	group.mutex.Lock()
	server.busySlots--
	if server.down || session.deniedAsReadOnly(keyword) { // killed or no longer primary
		return "", session.fail("READONLY")
	}
	group.executions = append(group.executions, Execution{
		Server: server.ID, ID: id, Text: keyword + " " + rest, Team: session.team, SessionValues: maps.Clone(session.values),
		PreparedText: preparedText, InTransaction: session.state == "T", At: time.Now(),
	})
	return session.complete(id, keyword, rest)
}

// deniedAsReadOnly returns whether a statement gets READONLY: a write on a replica or in a read-only transaction, or a
// read-write transaction whose server is not the primary.
func (session *session) deniedAsReadOnly(keyword string) bool {
	isPrimary := session.server.group.primary == session.server
	inReadWriteTx := session.state == "T" && !session.readOnly
	return keyword == "WRITE" && (!isPrimary || session.readOnly && session.state == "T") ||
		inReadWriteTx && !isPrimary && (keyword != "COMMIT" || len(session.writes) > 0)
}

func (session *session) complete(id, keyword, rest string) (rows, finalLine string) {
	group := session.server.group
	item, data, _ := strings.Cut(rest, " ")
	switch keyword {
	case "READ":
		rows = fmt.Sprintf("ROW %s\r\n", group.valueAt(session.server.appliedEntries, item))
	case "WRITE":
		session.writes = append(session.writes, logEntry{item: item, data: data})
	}
	if keyword == "COMMIT" || keyword == "WRITE" && session.state == "I" {
		if len(session.writes) > 0 && !group.commit(session.writes) && len(group.servers) > 1 {
			session.writes, session.state = nil, "I"
			return "", "ERR TIMEOUT " + string(session.server.ID)
		}
		session.writes, session.state = nil, "I"
	}
	return rows, "DONE digest-" + string(session.server.ID) + "-" + id
}

// valueAt returns an item's value after a number of log entries, or "none".
func (group *Group) valueAt(entries int, item string) string {
	for i := entries - 1; i >= 0; i-- {
		if group.log[i].item == item {
			return group.log[i].data
		}
	}
	return "none"
}

// executeControl runs a supervisor's STATUS, PAUSE or RESUME and returns the status row.
func (session *session) executeControl(keyword, rest string) string {
	server, group := session.server, session.server.group
	term, err := strconv.ParseUint(rest, 10, 64)
	switch {
	case keyword == "PAUSE" && err == nil && term > group.term && server != group.primary:
		server.pausedTerm = max(server.pausedTerm, term)
	case keyword == "RESUME":
		server.pausedTerm = 0
		server.receivedEntries = len(group.log)
		if !server.Lagging {
			server.appliedEntries = server.receivedEntries
		}
	}
	role := "replica"
	if group.primary == server {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n", role, group.term, group.position(server.receivedEntries), server.pausedTerm,
		server.busySlots, server.OpenConnections())
}
