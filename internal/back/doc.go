// Package back implements the client side of the PostgreSQL protocol towards backend servers.
//
// A Conn executes the cycles of one caller at a time and copies responses without decoding rows. An Admin queries the
// status of servers and changes their roles in the dialect of their group.
package back
