package place

import "math"

// Weights of proxies in the distribution of a server's connections.
const (
	NearWeight = 8 // for proxies in the server's region, which lend connections to the others
	FarWeight  = 1
)

// ConnectionShare divides a server's connections in proportion to the proxies' weights and returns the share of the proxy
// at index self, which may be zero. The shares add up to connections if all proxies use the same weights in the same order.
func ConnectionShare(connections int, weights []float64, self int) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	before := 0.0
	for _, weight := range weights[:self] {
		before += weight
	}
	scale := float64(connections) / total
	from := math.Floor(before*scale + roundingTolerance)
	to := math.Floor((before+weights[self])*scale + roundingTolerance)
	return int(to - from)
}

// roundingTolerance compensates for floating-point sums that fall just below a whole number.
const roundingTolerance = 1e-9
