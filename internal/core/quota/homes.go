package quota

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

// homesPerRegion is how many proxies of each region mint a team's rate in a large fleet: a region that is cut off has its
// part, and the loss of one proxy costs only a part of that.
const homesPerRegion = 2

// Proxy is a registered proxy that may mint.
type Proxy struct {
	VM     spool.VM
	Region string
}

// Homes returns the proxies that mint a team's rate, the first ones of each region by rendezvous hashing. It goes by the
// registry alone: a proxy that is only silent goes on to mint, and none takes its place before its registration ends.
func Homes(team spool.Team, fleet []Proxy) []Proxy {
	subject := rank.Hash(string(team))
	type candidate struct {
		Proxy
		weight uint64
	}
	first := map[string][]candidate{}
	for _, proxy := range fleet {
		added := candidate{proxy, rank.Mix(subject, rank.Hash(string(proxy.VM)))}
		candidates := append(first[proxy.Region], added)
		slices.SortFunc(candidates, func(left, right candidate) int { return cmp.Compare(right.weight, left.weight) })
		first[proxy.Region] = candidates[:min(len(candidates), homesPerRegion)]
	}
	var homes []Proxy
	for _, candidates := range first {
		for _, candidate := range candidates {
			homes = append(homes, candidate.Proxy)
		}
	}
	slices.SortFunc(homes, func(left, right Proxy) int { return cmp.Compare(left.VM, right.VM) })
	return homes
}
