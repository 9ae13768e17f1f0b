// Package fresh computes the log position that a replica must have reached for a read to be fresh enough.
//
// It serves reads that may run on any server of a group while commits
// continue and the group's primary may change.
package fresh
