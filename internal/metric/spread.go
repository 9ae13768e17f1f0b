package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// SpreadSample is the state of the distribution of the configuration at the time of a scrape.
type SpreadSample struct {
	InEffect  uint64        // version of the configuration
	Newest    uint64        // version that any proxy announced
	NewestAge time.Duration // since Newest was first announced; zero if it is in effect
	Fetching  int           // transfers in progress
	Serving   int
}

// spreadCollectors count what is sent to other proxies and how transfers end.
type spreadCollectors struct {
	sentBytes    *prometheus.CounterVec
	sentMessages *prometheus.CounterVec
	dropped      *prometheus.CounterVec
	transfers    *prometheus.CounterVec
}

// WithSpread adds the metrics of the distribution of the configuration, whose state sample returns at each scrape.
func WithSpread(sample func() SpreadSample) Option {
	return func(metrics *Metrics) {
		metrics.spread = spreadCollectors{
			sentBytes:    newCounterVec("peer_sent_bytes_total", "Bytes sent to other proxies.", "kind", "distance"),
			sentMessages: newCounterVec("peer_sent_messages_total", "Messages and transfers sent to other proxies.", "kind", "distance"),
			dropped:      newCounterVec("peer_dropped_messages_total", "Control messages that found no room in a queue.", "kind"),
			transfers:    newCounterVec("config_transfers_total", "Transfers of the configuration that ended.", "direction", "outcome"),
		}
		metrics.registry.MustRegister(
			metrics.spread.sentBytes, metrics.spread.sentMessages, metrics.spread.dropped, metrics.spread.transfers, spreadSampler(sample),
		)
	}
}

// CountPeerMessage counts a message or a transfer to another proxy, its kind, distance and size in bytes.
func (metrics *Metrics) CountPeerMessage(kind, distance string, bytes int) {
	metrics.spread.sentBytes.WithLabelValues(kind, distance).Add(float64(bytes))
	metrics.spread.sentMessages.WithLabelValues(kind, distance).Inc()
}

// CountDroppedMessage counts a control message that found no room in a queue.
func (metrics *Metrics) CountDroppedMessage(kind string) {
	metrics.spread.dropped.WithLabelValues(kind).Inc()
}

// CountTransfer counts a transfer that ended, in the direction "fetch" or "serve".
func (metrics *Metrics) CountTransfer(direction, outcome string) {
	metrics.spread.transfers.WithLabelValues(direction, outcome).Inc()
}

// spreadSampler collects the metrics of a sample; it implements prometheus.Collector.
type spreadSampler func() SpreadSample

var (
	configInEffectDesc = newDesc("config_version_in_effect", "Version of the configuration in effect.")
	configNewestDesc   = newDesc("config_newest_version", "Newest version of the configuration that any proxy announced.")
	configAgeDesc      = newDesc("config_newest_age_seconds", "Time for which a newer version is known; zero if the newest is in effect.")
	transfersDesc      = newDesc("config_transfers_in_progress", "Transfers of the configuration in progress.", "direction")
)

// Describe sends the descriptions of all metrics.
func (sampler spreadSampler) Describe(descs chan<- *prometheus.Desc) {
	descs <- configInEffectDesc
	descs <- configNewestDesc
	descs <- configAgeDesc
	descs <- transfersDesc
}

// Collect takes a sample and sends its metrics.
func (sampler spreadSampler) Collect(metrics chan<- prometheus.Metric) {
	sample := sampler()
	sendGauge(metrics, configInEffectDesc, float64(sample.InEffect))
	sendGauge(metrics, configNewestDesc, float64(sample.Newest))
	sendGauge(metrics, configAgeDesc, sample.NewestAge.Seconds())
	sendGauge(metrics, transfersDesc, float64(sample.Fetching), "fetch")
	sendGauge(metrics, transfersDesc, float64(sample.Serving), "serve")
}
