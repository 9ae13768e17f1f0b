package member_test

import (
	"testing"

	"corianderspool.example/spool/internal/rapids"
)

// TestMain fixes the seed of the property-based tests unless the command line sets one.
func TestMain(m *testing.M) { rapids.Main(m) }
