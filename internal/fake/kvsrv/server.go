package kvsrv

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the ways in which the platform misbehaves.
type Faults struct {
	Status     int           // answers every call; zero for none
	Reset      bool          // cuts every call
	Latency    time.Duration // before every answer
	LoseWrites int           // next changes that take effect and get no answer
	Deaf       bool          // watches hear nothing
}

// Object is one object of the store.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// Meta is what the store keeps beside an object.
type Meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is a change that watches tell.
type event struct {
	kind     string
	revision uint64
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Server is the stand-in.
type Server struct {
	http     *httptest.Server
	promote  func(group, server string) bool
	mutex    sync.Mutex
	kinds    map[string]map[string]Object
	revision uint64
	history  []event
	dropped  uint64 // newest revision that the history lacks
	faults   Faults
	calls    map[string]int
	fences   map[string]uint64
	changed  chan struct{}
}

// New returns a running server; promote is told of accepted orders and refuses those for servers that do not run.
func New(promote func(group, server string) bool) *Server {
	server := &Server{
		promote: promote, kinds: map[string]map[string]Object{}, revision: 100,
		calls: map[string]int{}, fences: map[string]uint64{}, changed: make(chan struct{}),
	}
	server.http = httptest.NewServer(server)
	return server
}

// Address returns the host and port.
func (server *Server) Address() string { return server.http.Listener.Addr().String() }

// Close ends the server.
func (server *Server) Close() {
	server.http.CloseClientConnections()
	server.http.Close()
}

// SetFaults replaces the faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
}

// Write puts an object as the operators do.
func (server *Server) Write(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.store(kind, Object{Meta: Meta{Name: name}, Spec: text})
}

// Remove deletes an object as an expired entry is.
func (server *Server) Remove(kind, name string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.remove(kind, name)
}

// Compact drops the history.
func (server *Server) Compact() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.history, server.dropped = nil, server.revision
}

// Calls returns the number of calls of a method.
func (server *Server) Calls(method string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.calls[method]
}

// Names returns the names of a kind's objects.
func (server *Server) Names(kind string) []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var names []string
	for name := range server.kinds[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (server *Server) store(kind string, object Object) Object {
	objects := server.kinds[kind]
	if objects == nil {
		objects = map[string]Object{}
		server.kinds[kind] = objects
	}
	if known, found := objects[object.Meta.Name]; found && string(known.Spec) == string(object.Spec) {
		return known
	}
	server.revision++
	object.Meta.Revision = server.revision
	objects[object.Meta.Name] = object
	server.tell(event{kind: kind, revision: server.revision, Object: object})
	return object
}

func (server *Server) remove(kind, name string) {
	object, found := server.kinds[kind][name]
	if !found {
		return
	}
	delete(server.kinds[kind], name)
	server.revision++
	server.tell(event{kind: kind, revision: server.revision, Object: object, Deleted: true})
}

func (server *Server) tell(event event) {
	server.history = append(server.history, event)
	close(server.changed)
	server.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls[request.Method]++
	faults := server.faults
	lose := faults.LoseWrites > 0 && request.Method != http.MethodGet
	if lose {
		server.faults.LoseWrites--
	}
	server.mutex.Unlock()
	time.Sleep(faults.Latency)
	if faults.Reset {
		cut(writer)
		return
	}
	if faults.Status != 0 {
		writer.WriteHeader(faults.Status)
		return
	}
	if lose {
		server.answer(httptest.NewRecorder(), request)
		cut(writer)
		return
	}
	server.answer(writer, request)
}

// cut ends the connection without an answer.
func cut(writer http.ResponseWriter) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (server *Server) answer(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/promote" {
		server.answerPromote(writer, request)
		return
	}
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if request.Method == http.MethodGet && request.URL.Query().Has("watch") {
		server.answerWatch(writer, request, kind)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch request.Method {
	case http.MethodGet:
		server.answerGet(writer, kind, name)
	case http.MethodPost, http.MethodPut:
		server.answerWrite(writer, request, kind)
	case http.MethodDelete:
		server.answerDelete(writer, request, kind, name)
	}
}

func (server *Server) answerGet(writer http.ResponseWriter, kind, name string) {
	if name == "" {
		items := []Object{}
		for _, object := range server.kinds[kind] {
			items = append(items, object)
		}
		reply(writer, http.StatusOK, map[string]any{"items": items, "more": false, "current-rev": server.revision})
		return
	}
	object, found := server.kinds[kind][name]
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, object)
}

func (server *Server) answerWrite(writer http.ResponseWriter, request *http.Request, kind string) {
	var object Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	known, found := server.kinds[kind][object.Meta.Name]
	switch {
	case request.Method == http.MethodPost && found:
		reply(writer, http.StatusConflict, known)
	case request.Method == http.MethodPut && !found:
		writer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodPut && object.Meta.Revision != 0 && object.Meta.Revision != known.Meta.Revision:
		reply(writer, http.StatusConflict, known)
	default:
		reply(writer, http.StatusOK, server.store(kind, object))
	}
}

func (server *Server) answerDelete(writer http.ResponseWriter, request *http.Request, kind, name string) {
	known, found := server.kinds[kind][name]
	revision, err := strconv.ParseUint(request.URL.Query().Get("revision"), 10, 64)
	switch {
	case !found:
		writer.WriteHeader(http.StatusNotFound)
	case err == nil && revision != known.Meta.Revision:
		reply(writer, http.StatusConflict, known)
	default:
		server.remove(kind, name)
	}
}

func (server *Server) answerWatch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		server.mutex.Lock()
		changed, deaf := server.changed, server.faults.Deaf
		gone := after < server.dropped
		events := []event{}
		for _, event := range server.history {
			if event.kind == kind && event.revision > after {
				events = append(events, event)
			}
		}
		revision := server.revision
		server.mutex.Unlock()
		if gone && !deaf {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !deaf {
			reply(writer, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(writer, http.StatusOK, map[string]any{"events": []event{}, "current-rev": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) answerPromote(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(request.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(request.Body).Decode(&order) != nil || request.Header.Get("X-Duty-Holder") == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	stale := token < server.fences[order.Service]
	server.fences[order.Service] = max(token, server.fences[order.Service])
	server.mutex.Unlock()
	if stale || !server.promote(order.Service, order.ID) {
		writer.WriteHeader(http.StatusConflict)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
