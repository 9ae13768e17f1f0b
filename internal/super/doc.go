// Package super looks after the primaries of groups and replaces them.
//
// One proxy looks after each group. It probes the primary, asks the other
// proxies before it believes a silence, and orders a promotion with a fencing
// token from the store.
package super
