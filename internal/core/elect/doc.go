// Package elect chooses the replica that becomes a group's primary.
//
// It handles primaries that crash, stop answering or leave while replicas lag,
// are unreachable or leave as well, and commits that were acknowledged just
// before.
package elect
