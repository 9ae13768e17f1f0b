// Package roster keeps which proxies of the fleet live and which of them
// supervises a group.
//
// Load it answers: proxies that die, freeze or are cut off at any time, alone
// or all at once, without a list of live ones.
package roster
