// Package spread decides how a large object, such as the configuration, spreads through a fleet: which proxy to fetch a newer
// version from and when, how many transfers to serve at once, and which proxies to name instead. It does no I/O.
package spread
