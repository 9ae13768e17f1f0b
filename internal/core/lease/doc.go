// Package lease grants roles to one proxy at a time, backed by a majority of the witnesses in the fleet's roster.
//
// A Witness pledges, a Holder collects pledges for one role, and a Changer replaces the roster's members. All of them
// are deterministic: instants come in, and requests to send come out.
package lease
