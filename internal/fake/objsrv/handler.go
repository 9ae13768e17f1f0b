package objsrv

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	maxBodyBytes     = 1 << 20
	maxEnvelopeBytes = maxBodyBytes + 1024
	maxWait          = time.Minute
)

// objectList is the answer to a list or a watch.
type objectList struct {
	Objects []spool.Object
	Version spool.Version
}

// errorBody is the body of an error answer.
type errorBody struct {
	Error string
}

func (server *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{Kind}/{Name}", server.withFaults(server.get))
	mux.HandleFunc("GET /v1/objects/{Kind}", server.withFaults(server.list))
	mux.HandleFunc("PUT /v1/objects/{Kind}/{Name}", server.withFaults(server.put))
	mux.HandleFunc("GET /v1/watch", server.withFaults(server.watch))
	mux.HandleFunc("POST /fault", func(writer http.ResponseWriter, request *http.Request) {
		handleControl(writer, request, server.SetFaults)
	})
	mux.HandleFunc("POST /members", func(writer http.ResponseWriter, request *http.Request) {
		handleControl(writer, request, server.SetMembers)
	})
	mux.HandleFunc("POST /memberlag", func(writer http.ResponseWriter, request *http.Request) {
		handleControl(writer, request, func(lag spool.Duration) { server.SetMemberLag(time.Duration(lag)) })
	})
	mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, server.Calls())
	})
	return mux
}

// handleControl decodes a JSON body and passes it to set; it rejects unknown fields.
func handleControl[T any](writer http.ResponseWriter, request *http.Request, set func(T)) {
	var body T
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{err.Error()})
		return
	}
	set(body)
	writeJSON(writer, http.StatusOK, struct{}{})
}

// withFaults applies the latency, the outage and the error share before it calls the handler.
func (server *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.mutex.Lock()
		latency := time.Duration(server.faults.Latency)
		failing := server.random.Float64() < server.faults.ErrorShare
		server.mutex.Unlock()
		sleep(request.Context(), latency)
		server.abortIfDown()
		if failing {
			writeJSON(writer, http.StatusServiceUnavailable, errorBody{"the object API is overloaded"})
			return
		}
		handler(writer, request)
	}
}

func (server *Server) abortIfDown() {
	server.mutex.Lock()
	down := server.isDown()
	server.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// readStore returns the current or the stale store for a read; the caller holds the mutex.
func (server *Server) readStore() *store {
	if server.random.Float64() < server.faults.StaleReads {
		return &server.staleStore
	}
	return &server.store
}

func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls.Get++
	object, err := server.readStore().get(request.PathValue("Kind"), request.PathValue("Name"))
	server.mutex.Unlock()
	writeObject(writer, object, err)
}

func (server *Server) list(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls.List++
	store := server.readStore()
	result := objectList{store.list(request.PathValue("Kind")), store.version}
	server.mutex.Unlock()
	writeJSON(writer, http.StatusOK, result)
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
	object := spool.Object{}
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxEnvelopeBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&object)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || len(object.Body) > maxBodyBytes {
		writeJSON(writer, http.StatusRequestEntityTooLarge, errorBody{"the body is larger than 1 MB"})
		return
	}
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{err.Error()})
		return
	}
	object.Kind = request.PathValue("Kind")
	object.Name = request.PathValue("Name")
	if status := server.authorize(request, object); status != http.StatusOK {
		writeJSON(writer, status, errorBody{"the token does not allow this change"})
		return
	}
	server.commit(writer, object)
}

func (server *Server) commit(writer http.ResponseWriter, object spool.Object) {
	server.mutex.Lock()
	server.calls.Put++
	lost := server.random.Float64() < server.faults.LoseAnswers
	stored, err := server.store.put(object)
	if err == nil {
		server.broadcast()
	}
	server.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeObject(writer, stored, err)
}

// authorize returns 200 if the request's token allows the change, else the status of the answer.
func (server *Server) authorize(request *http.Request, object spool.Object) int {
	if object.Kind == spool.KindMember {
		return http.StatusForbidden
	}
	if server.tokens == nil {
		return http.StatusOK
	}
	token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	allowed, known := server.tokens[token]
	if !known {
		return http.StatusUnauthorized
	}
	if object.Kind == spool.KindAudit && object.Version == 0 {
		return http.StatusOK
	}
	path := object.Kind + "/" + object.Name
	for _, entry := range allowed {
		prefix, isPrefix := strings.CutSuffix(entry, "*")
		if path == entry || isPrefix && strings.HasPrefix(path, prefix) {
			return http.StatusOK
		}
	}
	return http.StatusForbidden
}

func (server *Server) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	kinds := strings.Split(query.Get("kinds"), ",")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, errorBody{"after is not a version"})
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		writeJSON(writer, http.StatusBadRequest, errorBody{"wait is not a duration up to a minute"})
		return
	}
	writeJSON(writer, http.StatusOK, server.waitForChange(request, kinds, spool.Version(after), wait))
}

// waitForChange waits until an object of the kinds has a version above after, the wait expires or the request ends.
func (server *Server) waitForChange(
	request *http.Request, kinds []string, after spool.Version, wait time.Duration,
) objectList {
	server.addWaiting(1)
	defer server.addWaiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		server.abortIfDown()
		server.mutex.Lock()
		objects := server.store.changedAfter(kinds, after)
		version := server.store.version
		changed := server.changed
		server.mutex.Unlock()
		if len(objects) > 0 {
			return objectList{objects, version}
		}
		select {
		case <-changed:
		case <-timer.C:
			return objectList{objects, after}
		case <-request.Context().Done():
			return objectList{objects, after}
		}
	}
}

func (server *Server) addWaiting(change int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.calls.Waiting += change
	if change > 0 {
		server.calls.Watch++
		server.calls.MaxWaiting = max(server.calls.MaxWaiting, server.calls.Waiting)
	}
}

func writeObject(writer http.ResponseWriter, object spool.Object, err error) {
	switch {
	case err == nil:
		writeJSON(writer, http.StatusOK, object)
	case errors.Is(err, spool.ErrConflict):
		writeJSON(writer, http.StatusConflict, errorBody{err.Error()})
	case errors.Is(err, spool.ErrNotFound):
		writeJSON(writer, http.StatusNotFound, errorBody{err.Error()})
	default:
		writeJSON(writer, http.StatusInternalServerError, errorBody{err.Error()})
	}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
