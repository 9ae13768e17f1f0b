package metric_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/pkg/spool"
)

const expected = `
# HELP corianderspool_requests_total Requests that ended.
# TYPE corianderspool_requests_total counter
corianderspool_requests_total{team="kyushu.a",verdict="answered"} 2
corianderspool_requests_total{team="kyushu.b",verdict="not_run"} 1
corianderspool_requests_total{team="other",verdict="answered"} 2
# HELP corianderspool_refusals_total Refusals of requests, logins and sessions.
# TYPE corianderspool_refusals_total counter
corianderspool_refusals_total{code="53400"} 1
# HELP corianderspool_reads_total Reads answered by backend servers of the groups kept here.
# TYPE corianderspool_reads_total counter
corianderspool_reads_total{server="primary"} 1
corianderspool_reads_total{server="replica"} 2
# HELP corianderspool_leases_held Leases that this proxy holds.
# TYPE corianderspool_leases_held gauge
corianderspool_leases_held{role="group"} 2
corianderspool_leases_held{role="team"} 3
# HELP corianderspool_config_version Version of the manifest in force.
# TYPE corianderspool_config_version gauge
corianderspool_config_version{partner="kyushu"} 17
# HELP corianderspool_audit_entries_lost_total Audit entries that were never written.
# TYPE corianderspool_audit_entries_lost_total counter
corianderspool_audit_entries_lost_total 4
# HELP corianderspool_events_total Log events, also those that were not written.
# TYPE corianderspool_events_total counter
corianderspool_events_total{event="405"} 1
`

func TestMetricValuesAndLabelLimit(t *testing.T) {
	c := qt.New(t)
	sample := metric.Sample{
		Sessions: 1, GroupLeases: 2, TeamLeases: 3, AuditLost: 4,
		Versions: map[spool.Partner]spool.Version{"kyushu": 17},
	}
	metrics := metric.New(metric.WithLabelLimit(2), metric.WithSample(func() metric.Sample { return sample }))
	for _, team := range []spool.Team{"kyushu.a", "kyushu.a", "kyushu.b", "kyushu.c", "kyushu.d"} {
		verdict := spool.VerdictAnswered
		if team == "kyushu.b" {
			verdict = spool.VerdictNotRun
		}
		metrics.CountRequest(team, verdict, time.Millisecond)
	}
	metrics.CountRefusal(spool.CodeRateExceeded)
	metrics.CountRead(true)
	metrics.CountRead(true)
	metrics.CountRead(false)
	metrics.CountEvent(405)
	metricNames := []string{}
	for line := range strings.Lines(expected) {
		if rest, found := strings.CutPrefix(line, "# TYPE "); found {
			metricNames = append(metricNames, strings.Fields(rest)[0])
		}
	}
	c.Assert(testutil.GatherAndCompare(metrics.Gatherer(), strings.NewReader(expected), metricNames...), qt.IsNil)
}

// failingPlatform fails every call with the same error.
type failingPlatform struct {
	spool.Platform
	err error
}

func (failingPlatform *failingPlatform) Get(context.Context, string, string) (spool.Object, error) {
	return spool.Object{}, failingPlatform.err
}

func TestPlatformCallsAreCountedAndReported(t *testing.T) {
	c := qt.New(t)
	metrics := metric.New()
	inner := &failingPlatform{}
	var reports []bool
	countingPlatform := metrics.InstrumentPlatform(inner, func(err error) { reports = append(reports, err == nil) })
	ctx, cancel := context.WithCancel(context.Background())
	for _, inner.err = range []error{nil, spool.ErrNotFound, errors.New("down")} {
		_, err := countingPlatform.Get(ctx, spool.KindTerm, "kyushu.db")
		c.Check(err, qt.Equals, inner.err)
	}
	cancel()
	_, _ = countingPlatform.Get(ctx, spool.KindTerm, "kyushu.db")
	c.Assert(reports, qt.DeepEquals, []bool{true, true, false})
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", http.NoBody))
	for _, result := range []string{"done", "not_found", "failed", "canceled"} {
		series := `corianderspool_platform_calls_total{call="get",kind="Term",result="` + result + `"} 1`
		c.Check(recorder.Body.String(), qt.Contains, series)
	}
}
