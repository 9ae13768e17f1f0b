package metric_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/metric"
)

// TestWaitsByPriority scrapes waits and queue lengths. It guards against one series for each priority that a configuration may
// name.
func TestWaitsByPriority(t *testing.T) {
	c := qt.New(t)
	metrics := metric.New(metric.WithQueueLength(func() map[int]int { return map[int]int{0: 2, 11: 1, 12: 3} }))
	metrics.CountWait(0, false, "granted", time.Millisecond)
	metrics.CountWait(2, true, "refused", 0)
	metrics.CountWait(40, true, "refused", 0)
	metrics.CountRefusedPriority("53400", 1)
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`corianderspool_queue_length{priority="0"} 2`,
		`corianderspool_queue_length{priority="other"} 4`,
		`corianderspool_queue_waits_total{outcome="granted",priority="0",side="caller"} 1`,
		`corianderspool_queue_waits_total{outcome="refused",priority="2",side="borrower"} 1`,
		`corianderspool_queue_waits_total{outcome="refused",priority="other",side="borrower"} 1`,
		`corianderspool_priority_refusals_total{code="53400",priority="1"} 1`,
		`corianderspool_queue_wait_seconds_count{priority="0",side="caller"} 1`,
	} {
		c.Assert(strings.Contains(recorder.Body.String(), line+"\n"), qt.IsTrue, qt.Commentf("%s", line))
	}
}
