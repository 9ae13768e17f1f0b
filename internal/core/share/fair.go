package share

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const fillSteps = 40

// part returns how many whole tokens holder gets now; the VM with the least part of its demand served comes first.
func (owner *Owner) part(holder *holder, now spool.Instant) float64 {
	ready := owner.bucket.ready()
	wanted := 0.0
	least := holder
	for _, rival := range owner.holders {
		if !rival.wants(now) {
			continue
		}
		rival.fade(now)
		wanted += rival.want
		if rival.satisfied() < least.satisfied() {
			least = rival
		}
	}
	if wanted <= ready {
		return math.Floor(holder.want)
	}
	part := holder.claim(owner.waterline(ready, now))
	if least == holder || owner.bucket.brimming() {
		part = max(part, 1)
	}
	return math.Floor(min(part, ready, holder.want))
}

// waterline returns the served part of their demand up to which ready tokens raise all VMs that want some.
func (owner *Owner) waterline(ready float64, now spool.Instant) float64 {
	low := 0.0
	high := 1.0
	for range fillSteps {
		middle := (low + high) / 2
		sum := 0.0
		for _, rival := range owner.holders {
			if rival.wants(now) {
				sum += rival.claim(middle)
			}
		}
		if sum > ready {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// wait returns how long the VMs' unmet wants take together; they are met at the same pace.
func (owner *Owner) wait(now spool.Instant) time.Duration {
	ahead := 0.0
	for _, rival := range owner.holders {
		if rival.wants(now) {
			ahead += rival.want
		}
	}
	ahead -= owner.bucket.level
	return max(owner.timing.Poll, owner.bucket.timeFor(ahead))
}

func (holder *holder) wants(now spool.Instant) bool {
	return holder.want > 0 && now.Sub(holder.asked) <= wantLife
}

// demand returns how many tokens the holder wanted lately, granted or not.
func (holder *holder) demand() float64 { return holder.served + holder.want }

// satisfied returns the served part of the demand.
func (holder *holder) satisfied() float64 { return holder.served / max(1, holder.demand()) }

// claim returns how many tokens raise the served part of the demand to the waterline.
func (holder *holder) claim(waterline float64) float64 {
	return max(0, min(holder.want, waterline*holder.demand()-holder.served))
}

// fade lets the tokens granted lately decay until now.
func (holder *holder) fade(now spool.Instant) {
	elapsed := now.Sub(holder.decayed)
	if elapsed <= 0 {
		return
	}
	holder.served *= math.Exp(-elapsed.Seconds() / servedDecay.Seconds())
	holder.decayed = now
}
