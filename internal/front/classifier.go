package front

import (
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

// traits are the properties of a query string that decide how the proxy handles it.
type traits struct {
	refusal    *spool.Refusal  // the query string must not reach a server
	local      *localStatement // the proxy answers the query string itself
	empty      bool
	read       bool
	idempotent bool
	beginsTx   bool // begins a transaction
	endsTx     bool // ends a transaction
}

var readKeywords = map[string]bool{
	"SELECT": true, "SHOW": true, "GET": true, "LIST": true, "VALUES": true, "TABLE": true, "POSITION": true,
}

const stackTokens = 32 // a statement with more tokens allocates on the heap

// classifier determines the traits of query strings on a route.
type classifier struct {
	readPrefixes       []string
	idempotentPrefixes []string
}

func newClassifier(route spool.RouteSpec) classifier {
	return classifier{readPrefixes: route.Reads, idempotentPrefixes: route.Idempotent}
}

// classify returns the combined traits of all statements in a query string.
func (classifier classifier) classify(text string) traits {
	var tokens [stackTokens]sqlToken
	found := traits{empty: true, read: true, idempotent: true}
	scanner := scanner{text: text}
	statements := 0
	for !scanner.done() {
		statement := scanner.nextStatement(tokens[:])
		if len(statement.tokens) == 0 {
			continue
		}
		statements++
		classifier.classifyStatement(&found, statement)
	}
	found.empty = statements == 0
	if found.local != nil && statements > 1 && found.refusal == nil {
		found.refusal = unsupported("%s must be sent on its own", found.local.name)
	}
	if found.beginsTx && statements > 1 {
		found.idempotent = false
	}
	return found
}

func (classifier classifier) classifyStatement(found *traits, statement statement) {
	if local, refusal := parseLocalStatement(statement); local != nil || refusal != nil {
		found.local = local
		found.refusal = firstRefusal(found.refusal, refusal)
		return
	}
	found.refusal = firstRefusal(found.refusal, checkSessionState(statement))
	switch statement.word(0) {
	case "BEGIN", "START":
		found.beginsTx = true
		found.read = found.read && statement.hasWords("READ", "ONLY")
		return
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		found.endsTx = found.endsTx || endsTransaction(statement)
	}
	declared := hasAnyPrefix(statement.text, classifier.readPrefixes)
	locking := locksOrWrites(statement)
	found.read = found.read && (declared || readKeywords[statement.word(0)]) && !locking
	repeatable := hasAnyPrefix(statement.text, classifier.idempotentPrefixes) || declared && !locking
	found.idempotent = found.idempotent && repeatable
}

// endsTransaction reports whether a COMMIT or ROLLBACK ends the transaction without starting another.
func endsTransaction(statement statement) bool {
	return !statement.hasWords("TO") && !statement.hasWords("PREPARED") && !statement.hasWords("AND", "CHAIN")
}

func firstRefusal(first, second *spool.Refusal) *spool.Refusal {
	if first != nil {
		return first
	}
	return second
}

// locksOrWrites reports whether a statement takes locks or writes, regardless of its first keyword.
func locksOrWrites(statement statement) bool {
	return statement.hasWords("FOR", "UPDATE") || statement.hasWords("FOR", "SHARE") ||
		statement.hasWords("FOR", "NO", "KEY", "UPDATE") || statement.hasWords("FOR", "KEY", "SHARE") ||
		statement.hasWords("INTO") ||
		statement.hasWordPrefix("PG_ADVISORY_") || statement.hasWordPrefix("PG_TRY_ADVISORY_")
}

func hasAnyPrefix(text string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix) {
			return true
		}
	}
	return false
}
