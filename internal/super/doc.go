// Package super supervises the primaries of groups and replaces them.
//
// One proxy supervises each group. It probes the primary, polls the other
// proxies before it treats an unanswered probe as a failure, and requests a
// promotion with a fencing token from the store.
package super
