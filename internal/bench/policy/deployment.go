package policy

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Deployment describes a partner's VMs, one of its groups and its teams.
type Deployment struct {
	Partner       spool.Partner
	VMs           int
	Regions       int
	DomainLatency time.Duration // one-way latency between failure domains
	RegionLatency time.Duration // one-way latency between regions
	ReplicaLag    time.Duration // delay of the replicas behind the primary
	Servers       int
	Slots         int           // of each server
	Connections   int           // to each server
	MeanSlotTime  time.Duration // mean time that a request occupies a slot
	Teams         []spool.TeamSpec
}

// Deployments returns the deployments of both partners.
func Deployments() []Deployment {
	return []Deployment{
		{
			Partner: "kyushu",
			VMs:     9, Regions: 3,
			DomainLatency: 500 * time.Microsecond, RegionLatency: 20 * time.Millisecond,
			ReplicaLag: 100 * time.Millisecond,
			Servers:    3, Slots: 3, Connections: 20, MeanSlotTime: 7 * time.Millisecond,
			Teams: teams(),
		},
		{
			Partner: "consortium",
			VMs:     7, Regions: 3,
			DomainLatency: 1500 * time.Microsecond, RegionLatency: 10 * time.Millisecond,
			ReplicaLag: 100 * time.Millisecond,
			Servers:    3, Slots: 5, Connections: 60, MeanSlotTime: 12 * time.Millisecond,
			Teams: teams(),
		},
	}
}

func teams() []spool.TeamSpec {
	return []spool.TeamSpec{
		{Name: "greedy", RatePerSecond: 300, Burst: 150},
		{Name: "large", RatePerSecond: 300, Burst: 150},
		{Name: "middle1", RatePerSecond: 100, Burst: 50},
		{Name: "middle2", RatePerSecond: 100, Burst: 50},
		{Name: "middle3", RatePerSecond: 100, Burst: 50},
		{Name: "small1", RatePerSecond: 30, Burst: 15},
		{Name: "small2", RatePerSecond: 30, Burst: 15},
		{Name: "small3", RatePerSecond: 30, Burst: 15},
	}
}
