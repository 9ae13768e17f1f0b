package elect

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// OrderTTL is how long a request of a promotion may be carried out after its fencing token was acquired: it may be sent up to a second
// later and run 12 s late, and clocks may differ by a few seconds.
const OrderTTL = 20 * time.Second

// Order is a request of a promotion that may still be carried out, as its holder stores it before it is sent.
type Order struct {
	Server spool.Server // that is to be promoted
	Term   spool.Term   // newest one that the holder knew, so that the server leads a later one
	Token  uint64       // fencing token of the holder
	Leads  bool         // the server was the primary already, so that the request only fences earlier ones
}

// OrderTarget is what a supervisor knows of the server that a pending order names.
type OrderTarget struct {
	Registered   bool
	Evacuated    bool // in an evacuated failure domain, so never promoted
	NotReceiving bool // it receives nothing from the primary, so that commits would wait for it
}

// SettlingCause returns the cause of the handover that ends a pending order while the primary works: the promotion is requested again,
// or fenced by a request for the present primary if the server cannot take over.
func (orderTarget OrderTarget) SettlingCause() Cause {
	if !orderTarget.Registered || orderTarget.Evacuated || orderTarget.NotReceiving {
		return CauseConfirmed
	}
	return CauseOrdered
}

// Startup is what a process that has just started knows of the orders from before. It may acknowledge commits once it has listed the
// stored ones, or when those that it was not told of cannot be carried out any more.
type Startup struct {
	Began  spool.Instant // when the process started
	Listed bool          // the stored orders were read since, after the process was registered
}

// remaining returns how long no commit may be acknowledged unless the orders are listed; zero for a nil startup.
func (startup *Startup) remaining(now spool.Instant) time.Duration {
	if startup == nil || startup.Listed {
		return 0
	}
	return max(0, startup.Began.Add(OrderTTL).Sub(now))
}
