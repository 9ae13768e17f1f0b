// Package elect chooses the replica that becomes a group's primary.
//
// Load it answers: primaries that crash, go silent or leave while replicas lag,
// are out of reach or leave as well, and commits that were acknowledged just
// before.
package elect
