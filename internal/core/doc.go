// Package core makes the decisions of one proxy: configuration, leases, terms, rates and membership.
//
// Core is a deterministic state machine without I/O: it takes events with their time and returns effects to execute.
package core
