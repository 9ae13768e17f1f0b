package rank

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a subject's or VM's name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight returns the weight of a VM for a subject, of which the greatest comes first.
func Weight(subject, vm string) uint64 { return CombineHashes(Hash(subject), Hash(vm)) }

// CombineHashes returns the weight of hashed names; it spreads them over all bits as the finalizer of SplitMix64 does.
func CombineHashes(subject, vm uint64) uint64 {
	mixed := subject ^ (vm * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
