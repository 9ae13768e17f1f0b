package ports

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestProcessesDrawDifferentPorts guards against processes that cannot listen on the port that their test has drawn, because another one
// has drawn it too and uses it by now.
func TestProcessesDrawDifferentPorts(t *testing.T) {
	c := qt.New(t)
	processes := make([]reservation, 3)
	drawn := map[string]bool{}
	for range 300 {
		for i := range processes {
			listener, err := processes[i].listen()
			c.Assert(err, qt.IsNil)
			c.Assert(listener.Close(), qt.IsNil)
			address := listener.Addr().String()
			c.Assert(drawn[address], qt.IsFalse, qt.Commentf("%s was drawn twice", address))
			drawn[address] = true
		}
	}
	for i := range processes {
		for _, block := range processes[i].blocks {
			c.Assert(block.Close(), qt.IsNil)
		}
	}
}
