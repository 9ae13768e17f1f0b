// Package regsrv is an in-memory fake of a backend server for tests: a key-value store that speaks the PostgreSQL
// protocol, replicates asynchronously, injects faults and records the logins and statements of its clients.
//
// Statements, with arguments as bare words, quoted text or parameters:
//
//	SELECT x            returns one row with x
//	GET k               returns the latest value of a key, or no row
//	LIST k              returns all values of a key, one a row
//	PUT k v             sets the value of a key that has none, else fails with 23505
//	APPEND k v          appends a value to a key
//	ROWS n size         streams n rows of size bytes
//	SLEEP ms            occupies a slot for ms milliseconds
//	BEGIN, COMMIT, ROLLBACK, SET, DISCARD ALL
//	POSITION            returns term, log position, whether it is primary, and start of the term
//	PROMOTE n           makes the server primary of term n; idempotent
//	FOLLOW n address    makes the server a replica of that primary in term n
//	LOG after limit     returns log records for replicas
//	TERMS               returns the term history for replicas
//
// After the commit of a write the server reports term/position in the parameter status corianderspool.position.
//
// The control port serves POST /control (FaultUpdate), GET /log (a list of AppliedWrite), GET /seen (Activity) and
// GET /status.
package regsrv
