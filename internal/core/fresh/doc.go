// Package fresh decides which log position a replica must have so that a read is fresh enough.
//
// Load it answers: reads that may run on any server of a group, while commits
// go on and the group's primary may change.
package fresh
