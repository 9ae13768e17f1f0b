package pool

import (
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/pkg/spool"
)

// SetHomes sets how many routes of each group with home regions may run in each failure domain; nil means that no home regions
// are set.
func (pool *Pool) SetHomes(routesAt map[spool.Group]map[spool.Domain]int, restricted bool) {
	pool.restricted.Store(restricted)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.homeRoutes = routesAt
}

// Restricted reports whether any home regions are set, so that tunnels go only through proxies of the server's region.
func (pool *Pool) Restricted() bool { return pool.restricted.Load() }

// Within reports whether a caller's statement may be sent on the connection: its server is in the home regions, and so is every
// proxy on the way to it.
func (conn *Conn) Within(home place.Home) bool {
	return home.Unrestricted() || home.Allows(conn.domain) && !conn.farTunnel
}

// Strays reports whether the connection goes through a proxy that may be outside the home regions that were set since.
func (conn *Conn) Strays() bool { return conn.farTunnel && conn.pool.restricted.Load() }

// allows reports whether the request may run on servers in a failure domain.
func (request *Request) allows(domain spool.Domain) bool {
	return request.Allowed == nil || request.Allowed(domain)
}
