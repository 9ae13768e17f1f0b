package metric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"corianderspool.example/spool/pkg/spool"
)

const (
	namespace    = "corianderspool"
	firstBucket  = 100 * time.Microsecond
	bucketFactor = 2.5
	bucketCount  = 13
)

// Metrics holds the collectors of one proxy in their own registry; it is safe for concurrent use.
type Metrics struct {
	registry          *prometheus.Registry
	labelLimit        int
	sample            func() Sample
	runtimeCollectors bool
	teams             *labelValues
	groups            *labelValues
	codes             *labelValues

	requests      *prometheus.CounterVec
	requestTime   prometheus.Histogram
	slotWait      prometheus.Histogram
	reads         *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	failovers     *prometheus.CounterVec
	platformCalls *prometheus.CounterVec
	peerBytes     prometheus.Counter
	events        *prometheus.CounterVec
	waits         *waitMetrics
	spread        spreadCollectors
}

// Option configures Metrics.
type Option func(*Metrics)

// WithLabelLimit sets how many teams, groups and codes get their own series; further ones share the label value "other".
func WithLabelLimit(limit int) Option {
	return func(metrics *Metrics) { metrics.labelLimit = limit }
}

// WithSample sets the function that returns the current values at each scrape.
func WithSample(sample func() Sample) Option {
	return func(metrics *Metrics) { metrics.sample = sample }
}

// WithRuntime adds the collectors of the Go runtime and of the process.
func WithRuntime() Option {
	return func(metrics *Metrics) { metrics.runtimeCollectors = true }
}

// New returns metrics in which all counters are zero.
func New(options ...Option) *Metrics {
	metrics := &Metrics{registry: prometheus.NewRegistry(), labelLimit: defaultLabelLimit, waits: newWaitMetrics()}
	for _, option := range options {
		option(metrics)
	}
	metrics.teams = newLabelValues(metrics.labelLimit)
	metrics.groups = newLabelValues(metrics.labelLimit)
	metrics.codes = newLabelValues(metrics.labelLimit)
	metrics.createCollectors()
	metrics.registerCollectors()
	return metrics
}

func (metrics *Metrics) createCollectors() {
	metrics.requests = newCounterVec("requests_total", "Requests that ended.", "team", "verdict")
	metrics.requestTime = newHistogram("request_seconds", "Time from the admission of a request to its end.")
	metrics.slotWait = newHistogram("slot_wait_seconds", "Time that a request waited for a slot on a backend server.")
	metrics.reads = newCounterVec("reads_total", "Reads answered by backend servers of the groups kept here.", "server")
	metrics.refusals = newCounterVec("refusals_total", "Refusals of requests, logins and sessions.", "code")
	metrics.failovers = newCounterVec("failovers_total", "Terms opened after a promotion by this proxy.", "group")
	metrics.platformCalls = newCounterVec("platform_calls_total", "Calls of the object API.", "call", "kind", "result")
	metrics.peerBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_control_bytes_total", Help: "Bytes of control messages sent to other proxies.",
	})
	metrics.events = newCounterVec("events_total", "Log events, also those that were not written.", "event")
}

func (metrics *Metrics) registerCollectors() {
	metrics.registry.MustRegister(
		metrics.requests, metrics.requestTime, metrics.slotWait, metrics.reads, metrics.refusals,
		metrics.failovers, metrics.platformCalls, metrics.peerBytes, metrics.events, metrics.waits,
	)
	if metrics.sample != nil {
		metrics.registry.MustRegister(sampler(metrics.sample))
	}
	if metrics.runtimeCollectors {
		metrics.registry.MustRegister(
			collectors.NewGoCollector(),
			collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		)
	}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(firstBucket.Seconds(), bucketFactor, bucketCount),
	})
}

// Handler returns the HTTP handler for scrapes.
func (metrics *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{Registry: metrics.registry})
}

// Gatherer returns the gatherer of the registry.
func (metrics *Metrics) Gatherer() prometheus.Gatherer { return metrics.registry }

// CountRequest counts a finished request by its verdict and observes its duration.
func (metrics *Metrics) CountRequest(team spool.Team, verdict spool.Verdict, duration time.Duration) {
	metrics.requests.WithLabelValues(metrics.teams.label(string(team)), verdictName(verdict)).Inc()
	metrics.requestTime.Observe(duration.Seconds())
}

// CountRefusal counts a refusal by its SQLSTATE.
func (metrics *Metrics) CountRefusal(code string) {
	metrics.refusals.WithLabelValues(metrics.codes.label(code)).Inc()
}

// ObserveSlotWait observes how long a request waited for a slot.
func (metrics *Metrics) ObserveSlotWait(wait time.Duration) { metrics.slotWait.Observe(wait.Seconds()) }

// CountRead counts an answered read by the role of the server.
func (metrics *Metrics) CountRead(replica bool) {
	server := "primary"
	if replica {
		server = "replica"
	}
	metrics.reads.WithLabelValues(server).Inc()
}

// CountFailover counts a term that was opened after a promotion.
func (metrics *Metrics) CountFailover(group spool.Group) {
	metrics.failovers.WithLabelValues(metrics.groups.label(string(group))).Inc()
}

// AddPeerBytes adds the size of a control message to another proxy, in bytes.
func (metrics *Metrics) AddPeerBytes(size int) { metrics.peerBytes.Add(float64(size)) }

// CountEvent counts a log event by its number.
func (metrics *Metrics) CountEvent(number int) {
	metrics.events.WithLabelValues(strconv.Itoa(number)).Inc()
}
