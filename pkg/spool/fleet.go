package spool

import "time"

// FleetSettings are what a process of a fleet learns from the file that the platform lays down.
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
	Store            string // address of the store
	PromotionAddress string // address that takes orders of promotion
	Bounds           FleetBounds
}

// FleetBounds are the times that the operators hold the fleet to.
type FleetBounds struct {
	ConfigApply time.Duration // an accepted configuration is in force everywhere
	Drain       time.Duration // a leaving server still serves
	Grace       time.Duration // between SIGTERM and SIGKILL
	CatchUp     time.Duration // entries of the registry are back after an outage of the store
}
