package rank

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of the name of a subject or VM.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight returns the weight of a VM for a subject; the VM with the greatest weight comes first.
func Weight(subject, vm string) uint64 { return CombineHashes(Hash(subject), Hash(vm)) }

// CombineHashes returns the weight for the hashes of a subject and a VM, mixed by the finalizer of SplitMix64.
func CombineHashes(subject, vm uint64) uint64 {
	mixed := subject ^ (vm * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
