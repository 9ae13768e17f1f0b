// Package terms keeps one writable primary per database group: it detects a failed primary, promotes a replica and
// fences the old term.
//
// A Leader runs at every candidate for the group's lease and acts only while its proxy holds the lease. A term is a
// period with one primary; it is open while its writes may be acknowledged. A Leader is a deterministic state machine:
// it takes events with their time and returns effects for its caller to execute.
package terms
