package member_test

import (
	"testing"

	"corianderspool.example/spool/internal/rapids"
)

// TestMain fixes the seed of the generated tests unless the command gives one.
func TestMain(m *testing.M) { rapids.Main(m) }
