// Package terms keeps one writable primary for a database group: it suspects, promotes, fences and opens terms.
//
// A Leader runs at every candidate for the group's lease and acts only while its proxy holds it. It is deterministic:
// events and instants come in, effects come out.
package terms
