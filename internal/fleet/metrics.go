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

// metricsPath is the HTTP path of the metrics.
const metricsPath = "/metrics"

// statementObserver counts the outcomes of statements; it implements engine.Observer.
type statementObserver struct{ metrics *metric.Metrics }

// Finished counts a finished statement.
func (observer statementObserver) Finished(team spool.Team, priority int, refusal *spool.Refusal, took time.Duration) {
	verdict := spool.VerdictAnswered
	if refusal != nil {
		verdict = refusal.Verdict
		observer.metrics.CountRefusal(refusal.Code)
		observer.metrics.CountRefusedPriority(refusal.Code, priority)
	}
	observer.metrics.CountRequest(team, verdict, took)
}

// countingAdapter is an adapter that counts its calls to the store.
type countingAdapter struct {
	storelessAdapter
	spool.Store
}

// storelessAdapter is an adapter without its store.
type storelessAdapter interface {
	spool.ServerDialer
	spool.Promoter
	spool.Decoder
}

// setUpMetrics creates the metrics and wraps the logger and the adapter, so that log events and store calls are counted.
func (proxy *Proxy) setUpMetrics() {
	proxy.metrics = metric.New(metric.WithSample(func() metric.Sample {
		return metric.Sample{Sessions: proxy.engine.SessionCount(), Evacuated: proxy.evacuations.sample(), StoreEra: proxy.adapter.Era()}
	}), metric.WithQueueLength(func() map[int]int { return proxy.pool.WaitingByPriority() }), metric.WithSpread(proxy.spreadSample))
	proxy.logger = event.RateLimit(proxy.logger, func(number event.Number) { proxy.metrics.CountEvent(int(number)) })
	proxy.adapter = countingAdapter{storelessAdapter: proxy.adapter, Store: proxy.metrics.InstrumentStore(proxy.adapter, proxy.eras.checkAnswer)}
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
