package fleet

import (
	"context"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestOnlySilentLendersAreSuspected guards against full lenders, and those of callers that left, being passed over for a second.
func TestOnlySilentLendersAreSuspected(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	for _, example := range []struct {
		name      string
		caller    context.Context
		err       error
		suspected bool
	}{
		{"full", context.Background(), eris.Wrap(&pool.LoanRefusal{Reason: "in use"}, "borrow"), false},
		{"silent", context.Background(), os.ErrDeadlineExceeded, true},
		{"left", left, os.ErrDeadlineExceeded, false},
	} {
		borrower := newBorrower(&Proxy{timers: clock.Real{}})
		borrower.judge(example.caller, spool.VM(example.name), example.err)
		qt.Check(t, borrower.suspected(spool.VM(example.name), clock.Real{}.Now()), qt.Equals, example.suspected, qt.Commentf("%s", example.name))
	}
}

// TestPrioritizedConfigurations guards against a deployment whose routes all have one priority being served in another order.
func TestPrioritizedConfigurations(t *testing.T) {
	c := qt.New(t)
	routes := func(priorities ...int) *spool.FleetConfig {
		config := &spool.FleetConfig{Routes: map[string]spool.Route{}}
		for i, priority := range priorities {
			config.Routes[string(rune('a'+i))] = spool.Route{Priority: priority}
		}
		return config
	}
	c.Assert(prioritized(routes()), qt.IsFalse)
	c.Assert(prioritized(routes(2)), qt.IsFalse)
	c.Assert(prioritized(routes(1, 1, 1)), qt.IsFalse)
	c.Assert(prioritized(routes(1, 0, 1)), qt.IsTrue)
}
