// Package back speaks the PostgreSQL protocol with backend servers.
//
// A Conn carries one caller's cycles at a time and copies the answers without decoding rows. An Admin gives orders to
// servers in the dialect of their group.
package back
