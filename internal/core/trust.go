package core

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	trustLimit     = 3 * time.Second
	heartbeatDelay = 200 * time.Millisecond
)

// mechanism names a part of the core that a test can turn off.
type mechanism int

const (
	noMechanism mechanism = iota
	trustMechanism
	exchangeMechanism
)

// confirmation is the latest instant at which the platform is known to have had nothing newer than the own versions.
type confirmation struct {
	at    spool.Instant
	known bool
}

func (confirmation *confirmation) raise(at spool.Instant) {
	if !confirmation.known || at > confirmation.at {
		confirmation.at = at
		confirmation.known = true
	}
}

// judgeTrust tells the shell when the manifests in force can or can no longer be relied on.
//
// They can while the platform confirmed them lately, on any path. When it does not answer, a proxy in touch with a
// majority of the witnesses takes that for an outage, in which nobody can withdraw a key; any other proxy may be cut
// off and must not let keys work on.
func (core *Core) judgeTrust(now spool.Instant) {
	trusted := core.configured && (core.Confirmed(now) || core.reachesMajority(now) || core.without == trustMechanism)
	if trusted != core.trusted {
		core.trusted = trusted
		core.emit(Trust{Trusted: trusted})
	}
}

// Confirmed tells whether the platform confirmed the own versions lately, on any path.
func (core *Core) Confirmed(now spool.Instant) bool {
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
