package fleet

import (
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// prioritized reports whether the routes of a configuration differ in priority. Otherwise requests are served in the order of
// their arrival.
func prioritized(config *spool.FleetConfig) bool {
	first, known := 0, false
	for _, route := range config.Routes {
		if known && route.Priority != first {
			return true
		}
		first, known = route.Priority, true
	}
	return false
}

// waitObserver counts the waits for connections; it implements pool.Observer.
type waitObserver struct{ metrics *metric.Metrics }

// Waited counts a wait that ended.
func (observer waitObserver) Waited(wait pool.Wait) {
	observer.metrics.CountWait(wait.Priority, wait.Borrower, string(wait.Outcome), wait.Took)
}
