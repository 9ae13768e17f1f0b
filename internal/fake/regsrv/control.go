package regsrv

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

// Control changes how the server behaves; absent fields leave things as they are.
type Control struct {
	FrozenFor    *spool.Duration // nothing is read, executed or sent until it is over
	Lag          *spool.Duration // how far the server stays behind its primary
	WorkTime     *spool.Duration // time each statement holds its slot
	ConnectDelay *spool.Duration // cost of a new connection
	CutPeers     *bool           // no replication to or from other servers
	CutClients   *bool           // no connection of clients; present ones are cut
}

type faults struct {
	FrozenTill   time.Time
	Lag          time.Duration
	WorkTime     time.Duration
	ConnectDelay time.Duration
	CutPeers     bool
	CutClients   bool
}

// Control applies changes of behaviour.
func (server *Server) Control(change Control) {
	server.mutex.Lock()
	if change.FrozenFor != nil {
		server.faults.FrozenTill = time.Now().Add(time.Duration(*change.FrozenFor))
	}
	set(&server.faults.Lag, change.Lag)
	set(&server.faults.WorkTime, change.WorkTime)
	set(&server.faults.ConnectDelay, change.ConnectDelay)
	if change.CutPeers != nil {
		server.faults.CutPeers = *change.CutPeers
	}
	if change.CutClients != nil {
		server.faults.CutClients = *change.CutClients
	}
	faults := server.faults
	server.mutex.Unlock()
	server.cutSessions(func(session *session) bool {
		if session.replica {
			return faults.CutPeers
		}
		return faults.CutClients
	})
}

func set(target *time.Duration, value *spool.Duration) {
	if value != nil {
		*target = time.Duration(*value)
	}
}

func (server *Server) currentFaults() faults {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults
}

// thaw waits until the server is not frozen.
func (server *Server) thaw() {
	for {
		remaining := time.Until(server.currentFaults().FrozenTill)
		if remaining <= 0 || !server.pause(remaining) {
			return
		}
	}
}

// pause waits and reports false if the server was closed meanwhile.
func (server *Server) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-server.context.Done():
		return false
	}
}

func (server *Server) startControl() error {
	if server.controlAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", server.controlAddress)
	if err != nil {
		return eris.Wrapf(err, "listening on %q", server.controlAddress)
	}
	server.controls = listener
	server.control = &http.Server{Handler: server.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.control.Serve(listener) }()
	return nil
}

func (server *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", server.handleControl)
	mux.HandleFunc("GET /log", func(writer http.ResponseWriter, _ *http.Request) { answer(writer, server.Log()) })
	mux.HandleFunc("GET /seen", func(writer http.ResponseWriter, _ *http.Request) { answer(writer, server.Seen()) })
	mux.HandleFunc("GET /status", func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer, server.store.status())
	})
	return mux
}

func (server *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	change := Control{}
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.Control(change)
	answer(writer, struct{}{})
}

func answer(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
