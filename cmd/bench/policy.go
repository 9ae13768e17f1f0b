package main

import (
	"os"

	"corianderspool.example/spool/internal/bench/policy"
)

func runPolicy(seed uint64, asJSON bool) error {
	results := policy.Measure(seed)
	if asJSON {
		return policy.WriteJSON(os.Stdout, results)
	}
	return policy.WriteTable(os.Stdout, results)
}
