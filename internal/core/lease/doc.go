// Package lease grants roles to one proxy at a time, backed by a majority of the witnesses in the fleet's quorum.
//
// A Witness votes, a Holder collects votes for one role, and a Changer replaces the quorum's members. All of them
// are deterministic: instants come in, and requests to send come out.
package lease
