package oper_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/oper"
	"corianderspool.example/spool/pkg/spool"
)

func get(handler http.Handler, method, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, http.NoBody))
	return recorder
}

func TestHandler(t *testing.T) {
	c := qt.New(t)
	var reasons []string
	status := spool.Status{VM: "fukuoka-1", Groups: []spool.GroupStatus{{Group: "kyushu.records", Term: 3}}}
	handler := oper.New(
		oper.WithMetrics(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "metric 1\n")
		})),
		oper.WithReady(func() []string { return reasons }),
		oper.WithStatus(func() spool.Status { return status }),
	)
	c.Assert(get(handler, "GET", "/metrics").Body.String(), qt.Equals, "metric 1\n")
	c.Assert(get(handler, "GET", "/healthz").Code, qt.Equals, http.StatusOK)
	c.Assert(get(handler, "GET", "/readyz").Code, qt.Equals, http.StatusOK)
	reasons = []string{"no manifest yet", "draining"}
	answer := get(handler, "GET", "/readyz")
	c.Assert(answer.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.Body.String(), qt.Equals, "no manifest yet\ndraining\n")
	var read spool.Status
	c.Assert(json.Unmarshal(get(handler, "GET", "/status").Body.Bytes(), &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, status)
	c.Assert(get(handler, "POST", "/status").Code, qt.Equals, http.StatusMethodNotAllowed)
	c.Assert(get(handler, "GET", "/other").Code, qt.Equals, http.StatusNotFound)
	c.Assert(get(oper.New(), "GET", "/metrics").Code, qt.Equals, http.StatusNotFound)
}

func TestServeEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- oper.Serve(ctx, listener, oper.New()) }()
	answer, err := http.Get("http://" + listener.Addr().String() + "/healthz")
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Body.Close(), qt.IsNil)
	cancel()
	c.Assert(<-ended, qt.IsNil)
}
