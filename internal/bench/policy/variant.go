package policy

import "fmt"

// Variant is one policy for admission and scheduling.
type Variant struct {
	Name  string
	setUp func(trial *trial)
}

// Variants returns three policies: naive, a static split of the rates among the VMs, and the proxy's own (ours).
func Variants() []Variant {
	return []Variant{
		{Name: "naive", setUp: func(trial *trial) {
			trial.admission = newLocalBuckets(trial, 1)
			trial.scheduler = newNaiveQueue(trial)
		}},
		{Name: "split", setUp: func(trial *trial) {
			trial.admission = newLocalBuckets(trial, trial.deployment.VMs)
			trial.scheduler = newGroupLeader(trial)
		}},
		{Name: "ours", setUp: func(trial *trial) {
			trial.admission = newShareAdmission(trial)
			trial.scheduler = newGroupLeader(trial)
		}},
	}
}

// VariantByName returns the variant with the given name, or an error if there is none.
func VariantByName(name string) (Variant, error) {
	for _, variant := range Variants() {
		if variant.Name == name {
			return variant, nil
		}
	}
	return Variant{}, fmt.Errorf("variant %q does not exist", name)
}
