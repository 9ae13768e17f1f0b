// Package core makes the decisions of one proxy: configuration, leases, terms, rates and membership.
//
// Core is a deterministic state machine without input or output: an event and an instant go in, effects come out.
package core
