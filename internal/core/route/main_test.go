package route_test

import (
	"testing"

	"corianderspool.example/spool/internal/rapids"
)

func TestMain(m *testing.M) { rapids.Main(m) }
