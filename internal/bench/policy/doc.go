// Package policy measures the proxy's decisions on seeded virtual time.
//
// It runs the shares and the slot queue of one group at a partner's size
// through calm and failures, next to a naive version with a bucket of the whole
// rate on each VM and a plain queue for the slots.
package policy
