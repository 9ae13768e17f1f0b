package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the generated tests unless the command gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
