package member

import (
	"github.com/cespare/xxhash/v2"

	"corianderspool.example/spool/pkg/spool"
)

// weight orders the VMs for a role by rendezvous hashing; the VM of the greatest weight comes first.
func weight(role string, vm spool.VM) uint64 { return mix(xxhash.Sum64String(role), hashOf(vm)) }

func hashOf(vm spool.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// mix spreads two hashes over all bits as the finalizer of SplitMix64 does.
func mix(role, vm uint64) uint64 {
	mixed := role ^ (vm * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
