package pool

import (
	"testing"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/pkg/spool"
)

// BenchmarkCheckSend measures the check that each statement passes.
func BenchmarkCheckSend(b *testing.B) {
	pool := New(nil, nil, clock.Real{})
	var record place.EvacuationRecord
	record.Apply(1, []spool.Domain{"z2"}, pool.timers.Now())
	conn := &Conn{pool: pool, domain: "z1"}
	for _, row := range []struct {
		name       string
		evacuation *place.Evacuation
	}{{"NothingEvacuated", nil}, {"AnotherDomainEvacuated", record.Current}} {
		b.Run(row.name, func(b *testing.B) {
			pool.SetEvacuation(row.evacuation, nil)
			for b.Loop() {
				_ = conn.checkSend()
			}
		})
	}
}
