// Package regsrv is an in-memory stand-in for a backend server: a register store that speaks the PostgreSQL protocol,
// replicates asynchronously and records what it saw.
//
// Statements, with arguments as bare words, quoted text or parameters:
//
//	SELECT x            one row with x
//	GET k               the latest value of a key, or no row
//	LIST k              all values of a key
//	PUT k v             a value for a key that has none, else 23505
//	APPEND k v          one more value for a key
//	ROWS n size         n rows of size bytes, streamed
//	SLEEP ms            keeps a slot busy
//	BEGIN, COMMIT, ROLLBACK, SET, DISCARD ALL
//	POSITION            term, position, primary and start of the term
//	PROMOTE n           opens term n; repeating it does nothing
//	FOLLOW n address    becomes a replica of that primary in term n
//	LOG after limit     records for replicas
//	TERMS               history of terms for replicas
//
// After the commit of a write the server announces term/position as the parameter corianderspool.position.
//
// The control port serves POST /control (Control), GET /log (a list of Applied), GET /seen (Seen) and GET /status.
package regsrv
