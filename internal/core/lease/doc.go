// Package lease grants roles to one proxy at a time, backed by a majority of the witnesses in the fleet's quorum.
//
// A Witness votes, a Holder collects votes for one role, and a QuorumChanger replaces the quorum's members. All of
// them are deterministic: the caller passes in the time and sends the requests that they return.
package lease
