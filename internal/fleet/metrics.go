package fleet

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/oper"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
)

// metricsPath is where the metrics are served.
const metricsPath = "/metrics"

// observer counts what became of statements; it implements engine.Observer.
type observer struct{ metrics *metric.Metrics }

// Finished counts a statement.
func (observer observer) Finished(team spool.Team, refusal *spool.Refusal, took time.Duration) {
	verdict := spool.VerdictAnswered
	if refusal != nil {
		verdict = refusal.Verdict
		observer.metrics.CountRefusal(refusal.Code)
	}
	observer.metrics.CountRequest(team, verdict, took)
}

// counted is an adapter whose calls of the store are counted.
type counted struct {
	uncounted
	spool.Store
}

// uncounted is an adapter without its store.
type uncounted interface {
	spool.ServerDialer
	spool.Promoter
	spool.Decoder
}

// measure sets up the metrics and has the logger and the store feed them.
func (proxy *Proxy) measure() {
	proxy.metrics = metric.New(metric.WithSample(func() metric.Sample {
		return metric.Sample{Sessions: proxy.engine.SessionCount()}
	}))
	proxy.logger = event.RateLimit(proxy.logger, func(number event.Number) { proxy.metrics.CountEvent(int(number)) })
	proxy.adapter = counted{uncounted: proxy.adapter, Store: proxy.metrics.InstrumentStore(proxy.adapter)}
}

// serveMetrics serves the metrics until the context ends.
func (proxy *Proxy) serveMetrics(ctx context.Context) {
	if proxy.settings.Metrics == "" {
		return
	}
	listener, err := sock.Listen(ctx, proxy.settings.Metrics, sock.DefaultUserTimeout)
	if err != nil {
		event.Log(proxy.logger, event.ListenerFailed, zap.String("Address", proxy.settings.Metrics), event.Cause(err))
		return
	}
	handler := http.NewServeMux()
	handler.Handle("GET "+metricsPath, proxy.metrics.Handler())
	if err := oper.Serve(ctx, listener, handler); err != nil {
		event.Log(proxy.logger, event.ListenerFailed, zap.String("Address", proxy.settings.Metrics), event.Cause(err))
	}
}
