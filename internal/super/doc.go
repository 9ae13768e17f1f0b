// Package super supervises the primaries of groups and replaces them.
//
// One proxy supervises each group. It probes the primary, polls the other
// proxies before it treats an unanswered probe as a failure, acquires a fencing
// token from the store and requests a promotion from the platform.
package super
