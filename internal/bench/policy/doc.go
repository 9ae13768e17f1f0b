// Package policy measures the proxy's admission and scheduling decisions in a seeded simulation on virtual time.
//
// It runs the rate shares and the slot queue of one group, in the size of a partner's deployment,
// through normal operation and failures. For comparison it runs a naive variant, which has a token bucket
// with the team's whole rate on each VM and a FIFO queue for the slots.
package policy
