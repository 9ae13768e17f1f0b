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

// Faults are the faults that the server injects.
type Faults struct {
	Status           int           // HTTP status that answers every call; zero for none
	Reset            bool          // resets the connection of every call
	Latency          time.Duration // before every answer
	LoseWriteAnswers int           // number of next writes that take effect and get no answer
	DropEvents       bool          // watches report neither changes nor a compacted history
	EraHeader        string        // replaces the era that answers announce; empty for none
}

// Object is one object of the store.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// Meta is the name and the store revision of an object.
type Meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is a change that watches report.
type event struct {
	kind     string
	revision uint64
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Server is the fake platform.
type Server struct {
	http          *httptest.Server
	promote       func(group, server string) bool
	mutex         sync.Mutex
	objects       map[string]map[string]Object
	revision      uint64
	history       []event
	compacted     uint64 // newest revision that is no longer in history
	faults        Faults
	calls         map[string]int
	era           uint64 // announced in every answer; zero for none
	fencingTokens map[string]uint64
	tokenHolders  map[tokenUse]string
	sharedTokens  int // promotion requests whose token another holder had used
	changed       chan struct{}
}

// New returns a running server; promote carries out promotion requests and returns false for a server that does not run.
func New(promote func(group, server string) bool) *Server {
	server := &Server{
		promote: promote, objects: map[string]map[string]Object{}, revision: 100,
		calls: map[string]int{}, fencingTokens: map[string]uint64{}, changed: make(chan struct{}),
		tokenHolders: map[tokenUse]string{},
	}
	server.http = httptest.NewServer(server)
	return server
}

// Address returns the host and port.
func (server *Server) Address() string { return server.http.Listener.Addr().String() }

// Close stops the server and closes its connections.
func (server *Server) Close() {
	server.http.CloseClientConnections()
	server.http.Close()
}

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
}

// Write stores an object as the operators do; an unchanged object gets no new revision.
func (server *Server) Write(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.put(kind, Object{Meta: Meta{Name: name}, Spec: encoded})
}

// Remove deletes an object, as the store does when an entry expires.
func (server *Server) Remove(kind, name string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.delete(kind, name)
}

// Compact drops the history, so that watches from older revisions get status 410.
func (server *Server) Compact() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.history, server.compacted = nil, server.revision
}

// Calls returns the number of calls with an HTTP method.
func (server *Server) Calls(method string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.calls[method]
}

// Names returns the sorted names of a kind's objects.
func (server *Server) Names(kind string) []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var names []string
	for name := range server.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (server *Server) put(kind string, object Object) Object {
	objects := server.objects[kind]
	if objects == nil {
		objects = map[string]Object{}
		server.objects[kind] = objects
	}
	if stored, found := objects[object.Meta.Name]; found && string(stored.Spec) == string(object.Spec) {
		return stored
	}
	server.revision++
	object.Meta.Revision = server.revision
	objects[object.Meta.Name] = object
	server.publish(event{kind: kind, revision: server.revision, Object: object})
	return object
}

func (server *Server) delete(kind, name string) {
	object, found := server.objects[kind][name]
	if !found {
		return
	}
	delete(server.objects[kind], name)
	server.revision++
	server.publish(event{kind: kind, revision: server.revision, Object: object, Deleted: true})
}

func (server *Server) publish(event event) {
	server.history = append(server.history, event)
	close(server.changed)
	server.changed = make(chan struct{})
}

// ServeHTTP applies the injected faults and answers the call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls[request.Method]++
	faults := server.faults
	loseAnswer := faults.LoseWriteAnswers > 0 && request.Method != http.MethodGet
	if loseAnswer {
		server.faults.LoseWriteAnswers--
	}
	server.mutex.Unlock()
	time.Sleep(faults.Latency)
	if faults.Reset {
		resetConnection(writer)
		return
	}
	if faults.Status != 0 {
		server.mutex.Lock()
		server.setEraHeader(writer.Header())
		server.mutex.Unlock()
		writer.WriteHeader(faults.Status)
		return
	}
	if loseAnswer {
		server.handle(httptest.NewRecorder(), request)
		resetConnection(writer)
		return
	}
	server.handle(writer, request)
}

// resetConnection closes the connection with an RST and without an answer.
func resetConnection(writer http.ResponseWriter) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (server *Server) handle(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/promote" {
		server.handlePromote(writer, request)
		return
	}
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if request.Method == http.MethodGet && request.URL.Query().Has("watch") {
		server.handleWatch(writer, request, kind)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.setEraHeader(writer.Header())
	switch request.Method {
	case http.MethodGet:
		server.handleGet(writer, kind, name)
	case http.MethodPost, http.MethodPut:
		server.handleWrite(writer, request, kind)
	case http.MethodDelete:
		server.handleDelete(writer, request, kind, name)
	}
}

func (server *Server) handleGet(writer http.ResponseWriter, kind, name string) {
	if name == "" {
		items := []Object{}
		for _, object := range server.objects[kind] {
			items = append(items, object)
		}
		writeJSON(writer, http.StatusOK, map[string]any{"items": items, "more": false, "current-rev": server.revision})
		return
	}
	object, found := server.objects[kind][name]
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, object)
}

func (server *Server) handleWrite(writer http.ResponseWriter, request *http.Request, kind string) {
	var object Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	stored, found := server.objects[kind][object.Meta.Name]
	switch {
	case request.Method == http.MethodPost && found:
		writeJSON(writer, http.StatusConflict, stored)
	case request.Method == http.MethodPut && !found:
		writer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodPut && object.Meta.Revision != 0 && object.Meta.Revision != stored.Meta.Revision:
		writeJSON(writer, http.StatusConflict, stored)
	default:
		writeJSON(writer, http.StatusOK, server.put(kind, object))
	}
}

func (server *Server) handleDelete(writer http.ResponseWriter, request *http.Request, kind, name string) {
	stored, found := server.objects[kind][name]
	revision, err := strconv.ParseUint(request.URL.Query().Get("revision"), 10, 64)
	switch {
	case !found:
		writer.WriteHeader(http.StatusNotFound)
	case err == nil && revision != stored.Meta.Revision:
		writeJSON(writer, http.StatusConflict, stored)
	default:
		server.delete(kind, name)
	}
}

func (server *Server) handleWatch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		server.mutex.Lock()
		changed, dropEvents := server.changed, server.faults.DropEvents
		compacted := after < server.compacted || after > server.revision
		events := []event{}
		for _, event := range server.history {
			if event.kind == kind && event.revision > after {
				events = append(events, event)
			}
		}
		revision := server.revision
		server.setEraHeader(writer.Header())
		server.mutex.Unlock()
		if compacted && !dropEvents {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !dropEvents {
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(writer, http.StatusOK, map[string]any{"events": []event{}, "current-rev": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) handlePromote(writer http.ResponseWriter, request *http.Request) {
	var promotion struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(request.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(request.Body).Decode(&promotion) != nil || request.Header.Get("X-Duty-Holder") == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	stale := token < server.fencingTokens[promotion.Service]
	server.fencingTokens[promotion.Service] = max(token, server.fencingTokens[promotion.Service])
	server.recordToken(tokenUse{promotion.Service, token}, request.Header.Get("X-Duty-Holder"))
	server.mutex.Unlock()
	if stale || !server.promote(promotion.Service, promotion.ID) {
		writer.WriteHeader(http.StatusConflict)
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
