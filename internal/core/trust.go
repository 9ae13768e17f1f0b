package core

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	trustLimit     = 3 * time.Second
	heartbeatDelay = 200 * time.Millisecond // allowance for the transit time of a heartbeat
)

// mechanism is a part of the core that a test can disable.
type mechanism int

const (
	noMechanism mechanism = iota
	trustMechanism
	exchangeMechanism
)

// confirmation is the latest instant at which the platform is known to have had no newer versions than this proxy.
type confirmation struct {
	at    spool.Instant
	known bool
}

func (confirmation *confirmation) advance(at spool.Instant) {
	if !confirmation.known || at > confirmation.at {
		confirmation.at = at
		confirmation.known = true
	}
}

// updateTrust emits Trust when the manifests in force become trusted or untrusted.
//
// They are trusted while the platform, directly or through peers, confirmed them within trustLimit. If the platform
// does not answer, a proxy that reaches a majority of the witnesses assumes an outage, in which nobody can withdraw a
// key. Any other proxy may be isolated and must refuse keys.
func (core *Core) updateTrust(now spool.Instant) {
	trusted := core.configured && (core.PlatformConfirmed(now) || core.reachesMajority(now) || core.disabled == trustMechanism)
	if trusted != core.trusted {
		core.trusted = trusted
		core.emit(Trust{Trusted: trusted})
	}
}

// PlatformConfirmed reports whether the platform confirmed this proxy's versions within trustLimit, directly or through
// peers.
func (core *Core) PlatformConfirmed(now spool.Instant) bool {
	return core.confirmed.known && now.Sub(core.confirmed.at) <= trustLimit
}

func (core *Core) reachesMajority(now spool.Instant) bool {
	reached := 0
	for _, witness := range core.quorum.Members {
		if core.view.Alive(witness, now) {
			reached++
		}
	}
	return len(core.quorum.Members) > 0 && reached >= core.quorum.Majority()
}
