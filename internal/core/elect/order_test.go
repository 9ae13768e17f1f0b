package elect

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOrderIsFencedIfItsServerCannotTakeOver guards against orders that are forgotten, or repeated without an end, because their server
// left the registry, is evacuated or receives nothing.
func TestOrderIsFencedIfItsServerCannotTakeOver(t *testing.T) {
	for name, test := range map[string]struct {
		target OrderTarget
		cause  Cause
	}{
		"working":       {OrderTarget{Registered: true}, CauseOrdered},
		"without entry": {OrderTarget{}, CauseConfirmed},
		"evacuated":     {OrderTarget{Registered: true, Evacuated: true}, CauseConfirmed},
		"not receiving": {OrderTarget{Registered: true, NotReceiving: true}, CauseConfirmed},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.target.SettlingCause(), qt.Equals, test.cause) })
	}
}
