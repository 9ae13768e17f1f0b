package regsrv

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

// FaultUpdate changes the injected faults; nil fields leave them unchanged.
type FaultUpdate struct {
	FrozenFor    *spool.Duration // the server reads, executes and sends nothing for this time
	Lag          *spool.Duration // replication lag behind the primary
	WorkTime     *spool.Duration // added to the time that each statement holds its slot
	ConnectDelay *spool.Duration // delay of each new client connection
	CutPeers     *bool           // rejects and closes replication connections in both directions
	CutClients   *bool           // rejects new client connections and closes existing ones
}

// faults are the faults in force.
type faults struct {
	FrozenUntil  time.Time
	Lag          time.Duration
	WorkTime     time.Duration
	ConnectDelay time.Duration
	CutPeers     bool
	CutClients   bool
}

// UpdateFaults changes the injected faults and closes the connections that they cut.
func (server *Server) UpdateFaults(update FaultUpdate) {
	server.mutex.Lock()
	if update.FrozenFor != nil {
		server.faults.FrozenUntil = time.Now().Add(time.Duration(*update.FrozenFor))
	}
	setDuration(&server.faults.Lag, update.Lag)
	setDuration(&server.faults.WorkTime, update.WorkTime)
	setDuration(&server.faults.ConnectDelay, update.ConnectDelay)
	if update.CutPeers != nil {
		server.faults.CutPeers = *update.CutPeers
	}
	if update.CutClients != nil {
		server.faults.CutClients = *update.CutClients
	}
	faults := server.faults
	server.mutex.Unlock()
	server.closeSessions(func(session *session) bool {
		if session.replica {
			return faults.CutPeers
		}
		return faults.CutClients
	})
}

func setDuration(target *time.Duration, value *spool.Duration) {
	if value != nil {
		*target = time.Duration(*value)
	}
}

func (server *Server) currentFaults() faults {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults
}

// waitWhileFrozen returns once the server is not frozen or is closed.
func (server *Server) waitWhileFrozen() {
	for {
		remaining := time.Until(server.currentFaults().FrozenUntil)
		if remaining <= 0 || !server.sleep(remaining) {
			return
		}
	}
}

// sleep waits for the duration and reports false if the server was closed meanwhile.
func (server *Server) sleep(duration time.Duration) bool {
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
	server.controlListener = listener
	server.controlServer = &http.Server{Handler: server.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.controlServer.Serve(listener) }()
	return nil
}

func (server *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", server.handleControl)
	mux.HandleFunc("GET /log", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, server.Log()) })
	mux.HandleFunc("GET /seen", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, server.Activity()) })
	mux.HandleFunc("GET /status", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, server.store.status())
	})
	return mux
}

func (server *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	update := FaultUpdate{}
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&update); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.UpdateFaults(update)
	writeJSON(writer, struct{}{})
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
