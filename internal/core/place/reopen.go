package place

import "time"

const (
	// ReopenStep is the time between two steps in which load returns to the servers of a failure domain after an evacuation.
	ReopenStep  = 500 * time.Millisecond
	reopenSteps = 6 // 3 s altogether
	// ReopenPenalty is added to the expected response time of a server while its load returns, so that other servers are
	// preferred; it is that of a congested server.
	ReopenPenalty = congestedLatency
)

// ReopenLimit returns how many statements of this proxy a server may process at once after its failure domain was opened again,
// or zero if there is no limit any more. It answers the load of a whole group on servers whose caches are cold.
func ReopenLimit(limit int, elapsed time.Duration) int {
	step := int(elapsed / ReopenStep)
	if step >= reopenSteps {
		return 0
	}
	return max(minWindow, limit*step/reopenSteps)
}

// Restart sets the window to its minimum, as after an overload.
func (congestionWindow *CongestionWindow) Restart() { congestionWindow.size = minWindow }
