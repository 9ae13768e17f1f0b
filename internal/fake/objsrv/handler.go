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

// listing is the answer to a list or a watch.
type listing struct {
	Objects []spool.Object
	Version spool.Version
}

// failure is the body of an answer that is no success.
type failure struct {
	Error string
}

func (server *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{Kind}/{Name}", server.faulty(server.get))
	mux.HandleFunc("GET /v1/objects/{Kind}", server.faulty(server.list))
	mux.HandleFunc("PUT /v1/objects/{Kind}/{Name}", server.faulty(server.put))
	mux.HandleFunc("GET /v1/watch", server.faulty(server.watch))
	mux.HandleFunc("POST /fault", func(writer http.ResponseWriter, request *http.Request) {
		control(writer, request, server.SetFaults)
	})
	mux.HandleFunc("POST /members", func(writer http.ResponseWriter, request *http.Request) {
		control(writer, request, server.SetMembers)
	})
	mux.HandleFunc("POST /memberlag", func(writer http.ResponseWriter, request *http.Request) {
		control(writer, request, func(lag spool.Duration) { server.SetMemberLag(time.Duration(lag)) })
	})
	mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer, http.StatusOK, server.Calls())
	})
	return mux
}

// control decodes a strict JSON body and hands it to set.
func control[T any](writer http.ResponseWriter, request *http.Request, set func(T)) {
	var body T
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		answer(writer, http.StatusBadRequest, failure{err.Error()})
		return
	}
	set(body)
	answer(writer, http.StatusOK, struct{}{})
}

// faulty applies latency, outage and error share before the handler.
func (server *Server) faulty(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.mutex.Lock()
		latency := time.Duration(server.faults.Latency)
		erring := server.random.Float64() < server.faults.ErrorShare
		server.mutex.Unlock()
		sleep(request.Context(), latency)
		server.cutIfDown()
		if erring {
			answer(writer, http.StatusServiceUnavailable, failure{"the object API is overloaded"})
			return
		}
		handler(writer, request)
	}
}

func (server *Server) cutIfDown() {
	server.mutex.Lock()
	down := server.down()
	server.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// readable returns the store that a read sees; the caller holds the mutex.
func (server *Server) readable() *store {
	if server.random.Float64() < server.faults.StaleReads {
		return &server.stale
	}
	return &server.store
}

func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls.Get++
	object, err := server.readable().get(request.PathValue("Kind"), request.PathValue("Name"))
	server.mutex.Unlock()
	answerObject(writer, object, err)
}

func (server *Server) list(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls.List++
	store := server.readable()
	result := listing{store.list(request.PathValue("Kind")), store.version}
	server.mutex.Unlock()
	answer(writer, http.StatusOK, result)
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
	object := spool.Object{}
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxEnvelopeBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&object)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || len(object.Body) > maxBodyBytes {
		answer(writer, http.StatusRequestEntityTooLarge, failure{"the body is larger than 1 MB"})
		return
	}
	if err != nil {
		answer(writer, http.StatusBadRequest, failure{err.Error()})
		return
	}
	object.Kind = request.PathValue("Kind")
	object.Name = request.PathValue("Name")
	if status := server.authorize(request, object); status != http.StatusOK {
		answer(writer, status, failure{"the token does not allow this change"})
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
	answerObject(writer, stored, err)
}

// authorize returns 200 if the request's token allows the change, else the status to answer with.
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
		answer(writer, http.StatusBadRequest, failure{"after is not a version"})
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		answer(writer, http.StatusBadRequest, failure{"wait is not a duration up to a minute"})
		return
	}
	answer(writer, http.StatusOK, server.await(request, kinds, spool.Version(after), wait))
}

// await waits until an object of the kinds has changed after the version, or the wait is over.
func (server *Server) await(
	request *http.Request, kinds []string, after spool.Version, wait time.Duration,
) listing {
	server.countWatch(1)
	defer server.countWatch(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		server.cutIfDown()
		server.mutex.Lock()
		objects := server.store.after(kinds, after)
		version := server.store.version
		changed := server.changed
		server.mutex.Unlock()
		if len(objects) > 0 {
			return listing{objects, version}
		}
		select {
		case <-changed:
		case <-timer.C:
			return listing{objects, after}
		case <-request.Context().Done():
			return listing{objects, after}
		}
	}
}

func (server *Server) countWatch(change int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.calls.Waiting += change
	if change > 0 {
		server.calls.Watch++
		server.calls.MaxWaiting = max(server.calls.MaxWaiting, server.calls.Waiting)
	}
}

func answerObject(writer http.ResponseWriter, object spool.Object, err error) {
	switch {
	case err == nil:
		answer(writer, http.StatusOK, object)
	case errors.Is(err, spool.ErrConflict):
		answer(writer, http.StatusConflict, failure{err.Error()})
	case errors.Is(err, spool.ErrNotFound):
		answer(writer, http.StatusNotFound, failure{err.Error()})
	default:
		answer(writer, http.StatusInternalServerError, failure{err.Error()})
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
