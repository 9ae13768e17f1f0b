package bulk

import (
	"testing"

	"corianderspool.example/spool/internal/rapids"
)

// TestMain sets a fixed seed for property-based tests unless the command line sets one.
func TestMain(m *testing.M) { rapids.Main(m) }
