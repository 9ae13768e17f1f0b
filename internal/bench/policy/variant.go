package policy

import "fmt"

// Variant is one way to take the decisions.
type Variant struct {
	Name  string
	build func(trial *trial)
}

// Variants returns the naive version, a static split of the rates, and ours.
func Variants() []Variant {
	return []Variant{
		{Name: "naive", build: func(trial *trial) {
			trial.admission = newBuckets(trial, 1)
			trial.backend = newLine(trial)
		}},
		{Name: "split", build: func(trial *trial) {
			trial.admission = newBuckets(trial, trial.size.VMs)
			trial.backend = newGroup(trial)
		}},
		{Name: "ours", build: func(trial *trial) {
			trial.admission = newFleet(trial)
			trial.backend = newGroup(trial)
		}},
	}
}

// Get returns the variant of that name and fails if there is none.
func Get(name string) (Variant, error) {
	for _, variant := range Variants() {
		if variant.Name == name {
			return variant, nil
		}
	}
	return Variant{}, fmt.Errorf("variant %q does not exist", name)
}
