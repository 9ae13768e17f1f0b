package rank

import "math"

// The VM that capacities are relative to.
const (
	referenceProcessor   = 0.1       // cores
	referenceBandwidth   = 10e6 / 8  // bytes a second
	referenceMemory      = 128 << 20 // bytes
	referenceDescriptors = 2000
	// ReferenceCapacity is the capacity of that VM, and of a VM whose capacity is not known.
	ReferenceCapacity = 10
)

// Capacity returns the capacity of a VM for work that it does for other VMs: what is scarcest of its processor in cores, its
// link in bytes a second, its memory in bytes and its descriptors, relative to the reference VM. A resource of zero is not known
// and does not count.
func Capacity(processor, bandwidth float64, memory int64, descriptors int) uint32 {
	least := math.Inf(1)
	for _, part := range []float64{
		processor / referenceProcessor, bandwidth / referenceBandwidth,
		float64(memory) / referenceMemory, float64(descriptors) / referenceDescriptors,
	} {
		if part > 0 {
			least = min(least, part)
		}
	}
	if math.IsInf(least, 1) {
		return ReferenceCapacity
	}
	return uint32(max(1, math.Round(least*ReferenceCapacity)))
}

// Weighted returns the weight of a VM by a hash of the VM and the subject, and by its capacity: by weighted rendezvous hashing,
// VMs come first for numbers of subjects in proportion to their capacities, and VMs of equal capacity in the order of the hashes.
// The highest bit of a weight is never set.
func Weighted(hash uint64, capacity uint32) uint64 {
	if capacity == 0 {
		capacity = ReferenceCapacity
	}
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
	return math.Float64bits(-float64(capacity) / math.Log(uniform))
}
