package place

import "math"

// Weights of proxies in the division of a server's connections.
const (
	NearWeight = 8 // in the server's region, where connections are gathered
	FarWeight  = 1
)

// ConnectionShare divides a server's connections in proportion to the proxies' weights and returns the part of the proxy at
// index self, which may be none; every proxy that knows the same weights in the same order gets parts that add up.
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
	from := math.Floor(before*scale + rounding)
	to := math.Floor((before+weights[self])*scale + rounding)
	return int(to - from)
}

// rounding keeps sums of weights that should be whole from falling just below a whole number.
const rounding = 1e-9
