// Package lend lets one proxy use the pooled connections of another.
//
// A connection to a backend server is bound to one team when it opens. A few proxies pool the connections of a team; the
// others borrow them for one statement or transaction, which saves the server a handshake.
package lend
