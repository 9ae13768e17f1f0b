package metric

import (
	"github.com/prometheus/client_golang/prometheus"

	"corianderspool.example/spool/pkg/spool"
)

// Sample is the proxy's state at the time of a scrape.
type Sample struct {
	Sessions    int // connected callers
	GroupLeases int // groups that this proxy leads
	TeamLeases  int // teams whose tokens this proxy issues
	AuditLost   uint64
	StoreEra    spool.Era                       // newest era of the store that is known; zero if it announces none
	Versions    map[spool.Partner]spool.Version // versions of the manifests in force
	Evacuated   map[spool.Domain]Remaining      // evacuated failure domains
}

// Remaining counts what a proxy still has open at the servers of an evacuated failure domain.
type Remaining struct {
	Connections int
	Statements  int // connections that a statement or transaction uses
}

// sampler collects the metrics of a sample; it implements prometheus.Collector.
type sampler func() Sample

var (
	sessionsDesc  = newDesc("sessions", "Connected callers.")
	leasesDesc    = newDesc("leases_held", "Leases that this proxy holds.", "role")
	auditLostDesc = newDesc("audit_entries_lost_total", "Audit entries that were never written.")
	evacuatedDesc = newDesc("evacuated", "What is still open at the servers of an evacuated failure domain.", "domain", "of")
	storeEraDesc  = newDesc("store_era", "Newest era of the store that is known.")
	versionDesc   = newDesc("config_version", "Version of the manifest in force.", "partner")
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

func sendGauge(metrics chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

// Describe sends the descriptions of all metrics.
func (sampler sampler) Describe(descs chan<- *prometheus.Desc) {
	descs <- sessionsDesc
	descs <- leasesDesc
	descs <- auditLostDesc
	descs <- storeEraDesc
	descs <- versionDesc
	descs <- evacuatedDesc
}

// Collect takes a sample and sends its metrics.
func (sampler sampler) Collect(metrics chan<- prometheus.Metric) {
	sample := sampler()
	sendGauge(metrics, sessionsDesc, float64(sample.Sessions))
	sendGauge(metrics, leasesDesc, float64(sample.GroupLeases), "group")
	sendGauge(metrics, leasesDesc, float64(sample.TeamLeases), "team")
	metrics <- prometheus.MustNewConstMetric(auditLostDesc, prometheus.CounterValue, float64(sample.AuditLost))
	for domain, remaining := range sample.Evacuated {
		sendGauge(metrics, evacuatedDesc, float64(remaining.Connections), string(domain), "connections")
		sendGauge(metrics, evacuatedDesc, float64(remaining.Statements), string(domain), "statements")
	}
	if sample.StoreEra > 0 {
		sendGauge(metrics, storeEraDesc, float64(sample.StoreEra))
	}
	for partner, version := range sample.Versions {
		sendGauge(metrics, versionDesc, float64(version), string(partner))
	}
}
