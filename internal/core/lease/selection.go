package lease

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Quorum sizes, all odd.
const (
	singleQuorum = 1
	smallQuorum  = 3
	largeQuorum  = 5
)

// wantedMembers returns the members that the quorum should have, spread over as many failure domains as possible;
// present members are kept in preference to new ones.
func (quorumChanger *QuorumChanger) wantedMembers(now spool.Instant) []spool.VM {
	size := max(quorumChanger.targetSize(), len(quorumChanger.quorum.Members))
	chosen := selection{size: size, domains: map[spool.Domain]bool{}}
	present, absent := quorumChanger.splitMembers(now)
	spare := quorumChanger.spareMembers()
	chosen.addDistinct(present)
	chosen.addDistinct(spare)
	chosen.add(present)
	chosen.add(spare)
	chosen.add(absent)
	slices.Sort(chosen.vms)
	current := slices.Sorted(slices.Values(quorumChanger.quorum.Members))
	if slices.Equal(chosen.vms, current) {
		return quorumChanger.quorum.Members
	}
	return chosen.vms
}

// targetSize returns the number of witnesses that the live VMs allow.
func (quorumChanger *QuorumChanger) targetSize() int {
	switch {
	case quorumChanger.liveDomains() >= largeQuorum:
		return largeQuorum
	case len(quorumChanger.spareMembers())+len(quorumChanger.quorum.Members) >= smallQuorum:
		return smallQuorum
	default:
		return singleQuorum
	}
}

func (quorumChanger *QuorumChanger) liveDomains() int {
	domains := map[spool.Domain]bool{}
	for _, member := range quorumChanger.alive {
		if !member.Leaving {
			domains[member.Domain] = true
		}
	}
	return len(domains)
}

// splitMembers returns the quorum's present and absent members.
func (quorumChanger *QuorumChanger) splitMembers(now spool.Instant) (present, absent []spool.Member) {
	for _, vm := range quorumChanger.quorum.Members {
		member := spool.Member{VM: vm, Domain: quorumChanger.domainOf(vm)}
		if quorumChanger.isAbsent(vm, now) {
			absent = append(absent, member)
			continue
		}
		present = append(present, member)
	}
	return present, absent
}

// domainOf returns the failure domain that a VM had when it was last alive, or a separate one if that is unknown.
func (quorumChanger *QuorumChanger) domainOf(vm spool.VM) spool.Domain {
	if domain, ok := quorumChanger.lastDomain[vm]; ok {
		return domain
	}
	return spool.Domain("unknown " + vm)
}

// isAbsent reports whether a member is leaving, was removed or has not been alive for ReplaceAfter; for a member that was
// never alive, that time is counted from the first call.
func (quorumChanger *QuorumChanger) isAbsent(vm spool.VM, now spool.Instant) bool {
	if member, ok := quorumChanger.alive[vm]; ok {
		return member.Leaving
	}
	lastAlive, ok := quorumChanger.aliveAt[vm]
	if !ok {
		quorumChanger.aliveAt[vm] = now
		lastAlive = now
	}
	return quorumChanger.removed[vm] || now.Sub(lastAlive) >= quorumChanger.config.ReplaceAfter
}

// spareMembers returns the live VMs outside the quorum, sorted by name.
func (quorumChanger *QuorumChanger) spareMembers() []spool.Member {
	var spare []spool.Member
	for vm, member := range quorumChanger.alive {
		if !member.Leaving && !quorumChanger.quorum.Contains(vm) {
			spare = append(spare, member)
		}
	}
	slices.SortFunc(spare, func(left, right spool.Member) int { return cmp.Compare(left.VM, right.VM) })
	return spare
}

// selection collects members up to a size.
type selection struct {
	size    int
	vms     []spool.VM
	domains map[spool.Domain]bool
}

func (selection *selection) add(members []spool.Member) {
	for _, member := range members {
		if len(selection.vms) < selection.size && !slices.Contains(selection.vms, member.VM) {
			selection.vms = append(selection.vms, member.VM)
			selection.domains[member.Domain] = true
		}
	}
}

// addDistinct adds only members of failure domains that the selection does not contain yet.
func (selection *selection) addDistinct(members []spool.Member) {
	for _, member := range members {
		if !selection.domains[member.Domain] {
			selection.add([]spool.Member{member})
		}
	}
}
