// Package elect decides whether a group's primary has failed and which replica replaces it.
//
// It handles primaries that crash, stop answering or leave while replicas lag,
// are unreachable or leave as well, and commits that were acknowledged just
// before.
package elect
