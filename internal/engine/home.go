package engine

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// WithRegions sets the region of each failure domain, to which home regions refer.
func WithRegions(regions map[spool.Domain]string) Option {
	return func(engine *Engine) { engine.regions = regions }
}

// setHomes applies the home regions of a configuration. They apply before its keys and routes do, so that no request of a new
// route runs elsewhere.
func (engine *Engine) setHomes(config *spool.FleetConfig) {
	homes, unknown := place.NewHomeRegions(config, engine.regions)
	if len(unknown) > 0 {
		event.Log(engine.logger, event.HomeRegionUnknown, zap.Uint64("Revision", config.Revision), zap.Strings("Regions", unknown))
	}
	engine.pool.SetHomes(homes.RoutesAt(config), homes != nil)
	engine.homes.Store(homes)
}

// home returns the home regions of the session's requests as of now.
func (session *session) home() place.Home {
	homes := session.engine.homes.Load()
	if homes == nil {
		return place.Home{}
	}
	return homes.For(session.routeName, session.team)
}

// allowed returns the function that limits a request to the home regions in force when it is granted, or nil if there are none.
func (session *session) allowed() func(domain spool.Domain) bool {
	if session.home().Unrestricted() {
		return nil
	}
	return func(domain spool.Domain) bool { return session.home().Allows(domain) }
}

// checkHome refuses to use a connection outside the home regions, which may have changed since it was granted.
func (session *session) checkHome(conn *pool.Conn) *spool.Refusal {
	if conn.Within(session.home()) {
		return nil
	}
	return spool.Refuse(spool.CodeNoSlot, "the server is outside the home regions").WithRetryAfter(busyRetryDelay)
}

// explainHome returns the reason of a refusal if the route and the team have no home region in common.
func (session *session) explainHome(refusal *spool.Refusal) *spool.Refusal {
	if refusal == nil || !session.home().Empty() {
		return refusal
	}
	return spool.Refuse(spool.CodeNoSlot, "no region is a home region of both the route and the team").WithRetryAfter(place.EvacuationRetry)
}
