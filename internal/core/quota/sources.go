package quota

import (
	"slices"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

// Sources returns the issuers that a proxy sends a request for tokens to: that of its region first, and after requests that
// brought none the next one or all. It passes over issuers that it cannot reach, so that a network partition costs a team the
// tokens of the other side only and not those of its own.
func (decision Decision) Sources(self Proxy, issuers []Proxy, reachable func(vm spool.VM) bool) []spool.VM {
	var regional, others []spool.VM
	for _, issuer := range issuers {
		switch {
		case issuer.VM == self.VM || !reachable(issuer.VM):
		case issuer.Region == self.Region:
			regional = append(regional, issuer.VM)
		default:
			others = append(others, issuer.VM)
		}
	}
	if len(others) > 1 && rank.Hash(string(self.VM))&1 == 1 {
		slices.Reverse(others) // so that the proxies of a region spread over the issuers of the others
	}
	all := slices.Concat(regional, others)
	switch {
	case len(all) == 0:
		return nil
	case decision.AskOne:
		return all[decision.Unanswered%len(all):][:1]
	case decision.LastRequestFailed || len(regional) == 0:
		return all
	}
	return regional
}
