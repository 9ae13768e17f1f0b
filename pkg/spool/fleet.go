package spool

import "time"

// FleetSettings are the settings that a proxy process reads from the file provided by the platform.
type FleetSettings struct {
	VM               VM
	Domain           Domain
	Region           string
	Regions          map[Domain]string // region of each failure domain
	Callers          string            // address to listen on for callers
	Readiness        string            // address of the readiness probe
	Peers            string            // address to listen on for other proxies
	Seeds            []string          // addresses of other proxies, possibly stale
	Metrics          string            // address of the metrics
	Bootstrap        bool              // the whole fleet starts for the first time
	MemoryBytes      int64
	Descriptors      int
	Processor        float64 // share of one core that the VM may use, times its speed relative to the usual one
	LinkBandwidth    float64 // bytes a second; zero if it is not known
	Store            string  // address of the store
	PromotionAddress string  // address that accepts promotion requests
	Bounds           FleetBounds
}

// FleetBounds are time limits that operators require of the fleet.
type FleetBounds struct {
	ConfigApply time.Duration // until an accepted configuration is in force on all proxies
	Drain       time.Duration // for which a leaving server still serves
	Grace       time.Duration // between SIGTERM and SIGKILL
	CatchUp     time.Duration // until the registry's entries are restored after an outage of the store
	Evacuate    time.Duration // until nothing is sent to the servers of an evacuated failure domain; zero if operators evacuate none
}
