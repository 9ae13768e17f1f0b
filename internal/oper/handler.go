package oper

import (
	"encoding/json"
	"net/http"
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

// Handler serves /metrics, /healthz, /readyz and /status.
type Handler struct {
	metrics http.Handler
	ready   func() []string
	status  func() spool.Status
	mux     *http.ServeMux
}

// Option configures a Handler.
type Option func(handler *Handler)

// WithMetrics sets the handler of /metrics.
func WithMetrics(metrics http.Handler) Option {
	return func(handler *Handler) { handler.metrics = metrics }
}

// WithReady sets the function behind /readyz, which returns the reasons why the proxy accepts no callers; none means ready.
func WithReady(ready func() []string) Option {
	return func(handler *Handler) { handler.ready = ready }
}

// WithStatus sets the function that returns the status for /status.
func WithStatus(status func() spool.Status) Option {
	return func(handler *Handler) { handler.status = status }
}

// New returns a handler; paths without their option answer 404.
func New(options ...Option) *Handler {
	handler := &Handler{mux: http.NewServeMux()}
	for _, option := range options {
		option(handler)
	}
	handler.mux.HandleFunc("GET /healthz", serveHealth)
	if handler.metrics != nil {
		handler.mux.Handle("GET /metrics", handler.metrics)
	}
	if handler.ready != nil {
		handler.mux.HandleFunc("GET /readyz", handler.serveReady)
	}
	if handler.status != nil {
		handler.mux.HandleFunc("GET /status", handler.serveStatus)
	}
	return handler
}

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.mux.ServeHTTP(writer, request)
}

func serveHealth(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n"))
}

func (handler *Handler) serveReady(writer http.ResponseWriter, _ *http.Request) {
	reasons := handler.ready()
	if len(reasons) == 0 {
		_, _ = writer.Write([]byte("ready\n"))
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
	_, _ = writer.Write([]byte(strings.Join(reasons, "\n") + "\n"))
}

func (handler *Handler) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(handler.status())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(append(body, '\n'))
}
