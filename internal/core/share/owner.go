package share

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Owner mints the tokens of one team on the proxy that holds the team's role.
type Owner struct {
	timing Timing
	spec   spool.TeamSpec
}

// NewOwner returns an owner that took the team's role at now, with an empty bucket.
func NewOwner(spec spool.TeamSpec, now spool.Instant, options ...Option) *Owner {
	return &Owner{timing: newTiming(options), spec: spec}
}

// Grant answers a client's request; it returns nil when the request is older than one answered before.
func (owner *Owner) Grant(from spool.VM, request *wire.GrantRequest, now spool.Instant) *wire.GrantAnswer {
	return nil
}

// Resize puts a new rate and burst in force from now on.
func (owner *Owner) Resize(spec spool.TeamSpec, now spool.Instant) {
	owner.spec = spec
}
