package lease

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Numbers of witnesses, all odd.
const (
	singleQuorum = 1
	smallQuorum  = 3
	largeQuorum  = 5
)

// wanted returns the members that the quorum should have: those it has, but for the gone ones, over as many failure
// domains as possible.
func (changer *Changer) wanted(now spool.Instant) []spool.VM {
	size := max(changer.size(), len(changer.quorum.Members))
	chosen := choice{size: size, domains: map[spool.Domain]bool{}}
	kept, gone := changer.split(now)
	spare := changer.spare()
	chosen.addDistinct(kept)
	chosen.addDistinct(spare)
	chosen.add(kept)
	chosen.add(spare)
	chosen.add(gone)
	slices.Sort(chosen.vms)
	current := slices.Sorted(slices.Values(changer.quorum.Members))
	if slices.Equal(chosen.vms, current) {
		return changer.quorum.Members
	}
	return chosen.vms
}

// size is the number of witnesses that the live VMs allow for.
func (changer *Changer) size() int {
	switch {
	case changer.domains() >= largeQuorum:
		return largeQuorum
	case len(changer.spare())+len(changer.quorum.Members) >= smallQuorum:
		return smallQuorum
	default:
		return singleQuorum
	}
}

func (changer *Changer) domains() int {
	domains := map[spool.Domain]bool{}
	for _, member := range changer.alive {
		if !member.Leaving {
			domains[member.Domain] = true
		}
	}
	return len(domains)
}

// split parts the quorum's members into those that stay and those that are gone.
func (changer *Changer) split(now spool.Instant) (kept, gone []spool.Member) {
	for _, vm := range changer.quorum.Members {
		member := spool.Member{VM: vm, Domain: changer.domainOf(vm)}
		if changer.gone(vm, now) {
			gone = append(gone, member)
			continue
		}
		kept = append(kept, member)
	}
	return kept, gone
}

// domainOf returns the failure domain that a VM had when it was last alive, or one of its own if that is not known.
func (changer *Changer) domainOf(vm spool.VM) spool.Domain {
	if domain, ok := changer.domain[vm]; ok {
		return domain
	}
	return spool.Domain("unknown " + vm)
}

// gone tells whether a member is leaving, was removed or has been missed for too long.
func (changer *Changer) gone(vm spool.VM, now spool.Instant) bool {
	if member, ok := changer.alive[vm]; ok {
		return member.Leaving
	}
	last, ok := changer.aliveAt[vm]
	if !ok {
		changer.aliveAt[vm] = now
		last = now
	}
	return changer.removed[vm] || now.Sub(last) >= changer.config.Gone
}

// spare returns the live VMs that are not in the quorum, by name.
func (changer *Changer) spare() []spool.Member {
	var spare []spool.Member
	for vm, member := range changer.alive {
		if !member.Leaving && !changer.quorum.Contains(vm) {
			spare = append(spare, member)
		}
	}
	slices.SortFunc(spare, func(left, right spool.Member) int { return cmp.Compare(left.VM, right.VM) })
	return spare
}

// choice gathers members up to a size.
type choice struct {
	size    int
	vms     []spool.VM
	domains map[spool.Domain]bool
}

func (choice *choice) add(members []spool.Member) {
	for _, member := range members {
		if len(choice.vms) < choice.size && !slices.Contains(choice.vms, member.VM) {
			choice.vms = append(choice.vms, member.VM)
			choice.domains[member.Domain] = true
		}
	}
}

// addDistinct adds only members of failure domains that are not represented yet.
func (choice *choice) addDistinct(members []spool.Member) {
	for _, member := range members {
		if !choice.domains[member.Domain] {
			choice.add([]spool.Member{member})
		}
	}
}
