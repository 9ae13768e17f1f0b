package metric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "side" of waits for a connection.
const (
	sideCaller   = "caller"
	sideBorrower = "borrower"
)

// maxPriorityLabel is the least urgent priority with its own series; less urgent ones share the label value "other".
const maxPriorityLabel = 9

// waitMetrics are the waits of requests for a connection to a backend server.
type waitMetrics struct {
	outcomes *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	length   func() map[int]int
}

var queueLengthDesc = newDesc("queue_length", "Requests that wait for a connection to a backend server.", "priority")

func newWaitMetrics() *waitMetrics {
	return &waitMetrics{
		refusals: newCounterVec("priority_refusals_total", "Refusals of requests by the priority of their route.", "code", "priority"),
		outcomes: newCounterVec("queue_waits_total", "Waits for a connection that ended, by outcome.", "priority", "side", "outcome"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "queue_wait_seconds", Help: "Time that requests waited for a connection.",
			Buckets: prometheus.ExponentialBuckets(firstBucket.Seconds(), bucketFactor, bucketCount),
		}, []string{"priority", "side"}),
	}
}

// WithQueueLength sets the function that returns the number of waiting requests by priority at each scrape.
func WithQueueLength(length func() map[int]int) Option {
	return func(metrics *Metrics) { metrics.waits.length = length }
}

// CountWait counts a wait for a connection that ended and observes its duration; borrower is true for a request of another
// proxy.
func (metrics *Metrics) CountWait(priority int, borrower bool, outcome string, took time.Duration) {
	side := sideCaller
	if borrower {
		side = sideBorrower
	}
	metrics.waits.outcomes.WithLabelValues(priorityLabel(priority), side, outcome).Inc()
	metrics.waits.seconds.WithLabelValues(priorityLabel(priority), side).Observe(took.Seconds())
}

// CountRefusedPriority counts a refusal by its SQLSTATE and the priority of its route.
func (metrics *Metrics) CountRefusedPriority(code string, priority int) {
	metrics.waits.refusals.WithLabelValues(metrics.codes.label(code), priorityLabel(priority)).Inc()
}

func priorityLabel(priority int) string {
	if priority < 0 || priority > maxPriorityLabel {
		return otherLabel
	}
	return strconv.Itoa(priority)
}

// Describe sends the descriptions of the metrics of waits.
func (waitMetrics *waitMetrics) Describe(descs chan<- *prometheus.Desc) {
	waitMetrics.outcomes.Describe(descs)
	waitMetrics.refusals.Describe(descs)
	waitMetrics.seconds.Describe(descs)
	descs <- queueLengthDesc
}

// Collect sends the metrics of waits.
func (waitMetrics *waitMetrics) Collect(metrics chan<- prometheus.Metric) {
	waitMetrics.outcomes.Collect(metrics)
	waitMetrics.refusals.Collect(metrics)
	waitMetrics.seconds.Collect(metrics)
	if waitMetrics.length == nil {
		return
	}
	lengths := map[string]int{}
	for priority, length := range waitMetrics.length() {
		lengths[priorityLabel(priority)] += length
	}
	for label, length := range lengths {
		sendGauge(metrics, queueLengthDesc, float64(length), label)
	}
}
