// Package lend lets one proxy use the pooled connections of another.
//
// A backend server is told the team when a connection opens, so a connection serves one team. A few proxies gather the
// connections of a team; the others borrow them for one statement or transaction, which saves the server a handshake.
package lend
