package quota

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

// CandidatesPerRegion is how many proxies of each region are homes in a large fleet. They share the teams, so that few
// connections between proxies carry all tokens. A team has one home in each region: one that is cut off has its part.
const CandidatesPerRegion = 4

// Proxy is a registered proxy that may mint.
type Proxy struct {
	VM     spool.VM
	Region string
}

// Issuers returns the proxies that mint a team's rate, the first one of each region's homes by rendezvous hashing. It goes by
// the registry alone: a proxy that is only silent goes on to mint, and none takes its place before its registration ends.
func Issuers(team spool.Team, homes []Proxy) []Proxy { return first(string(team), homes, 1) }

// Candidates returns the proxies of the fleet that are homes.
func Candidates(fleet []Proxy) []Proxy { return first("homes", fleet, CandidatesPerRegion) }

// first returns the first proxies of each region for a subject, ordered by name.
func first(name string, fleet []Proxy, most int) []Proxy {
	subject := rank.Hash(name)
	type candidate struct {
		Proxy
		weight uint64
	}
	regions := map[string][]candidate{}
	for _, proxy := range fleet {
		added := candidate{proxy, rank.CombineHashes(subject, rank.Hash(string(proxy.VM)))}
		candidates := append(regions[proxy.Region], added)
		slices.SortFunc(candidates, func(left, right candidate) int { return cmp.Compare(right.weight, left.weight) })
		regions[proxy.Region] = candidates[:min(len(candidates), most)]
	}
	var found []Proxy
	for _, candidates := range regions {
		for _, candidate := range candidates {
			found = append(found, candidate.Proxy)
		}
	}
	slices.SortFunc(found, func(left, right Proxy) int { return cmp.Compare(left.VM, right.VM) })
	return found
}
