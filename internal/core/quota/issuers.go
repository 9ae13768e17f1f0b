package quota

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

// CandidatesPerRegion is how many proxies of each region may be issuers in a large fleet. The teams are distributed over them,
// so that few connections between proxies carry all tokens. A team has one issuer in each region, so that a region that is
// partitioned from the others keeps a share of the rate.
const CandidatesPerRegion = 4

// Proxy is a registered proxy that may be an issuer.
type Proxy struct {
	VM       spool.VM
	Region   string
	Capacity uint32 // as of spool.Member
}

// Issuers returns a team's issuers, the first candidate of each region by rendezvous hashing. It depends on registrations and
// not on heartbeats: the bucket of a silent proxy still refills, so it is replaced only when its registration is removed.
func Issuers(team spool.Team, candidates []Proxy) []Proxy {
	return topPerRegion(string(team), candidates, 1)
}

// Candidates returns the proxies of the fleet that may be issuers; all proxies must hash the same subject to agree on them.
func Candidates(fleet []Proxy) []Proxy { return topPerRegion("homes", fleet, CandidatesPerRegion) }

// topPerRegion returns the first proxies of each region in the rendezvous order of a name, sorted by VM.
func topPerRegion(name string, fleet []Proxy, limit int) []Proxy {
	subject := rank.Hash(name)
	type candidate struct {
		Proxy
		weight uint64
	}
	regions := map[string][]candidate{}
	for _, proxy := range fleet {
		hash := rank.CombineHashes(subject, rank.Hash(string(proxy.VM)))
		added := candidate{proxy, rank.Weighted(hash, proxy.Capacity)}
		candidates := append(regions[proxy.Region], added)
		slices.SortFunc(candidates, func(left, right candidate) int { return cmp.Compare(right.weight, left.weight) })
		regions[proxy.Region] = candidates[:min(len(candidates), limit)]
	}
	var top []Proxy
	for _, candidates := range regions {
		for _, candidate := range candidates {
			top = append(top, candidate.Proxy)
		}
	}
	slices.SortFunc(top, func(left, right Proxy) int { return cmp.Compare(left.VM, right.VM) })
	return top
}
