package front

import (
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

// traits are what the proxy has to know of a text.
type traits struct {
	refusal    *spool.Refusal // the text must not reach a server
	own        *ownStatement  // the proxy answers the text itself
	empty      bool
	read       bool
	idempotent bool
	begins     bool // opens a transaction
	ends       bool // ends a transaction
}

var readWords = map[string]bool{
	"SELECT": true, "SHOW": true, "GET": true, "LIST": true, "VALUES": true, "TABLE": true, "POSITION": true,
}

const usualTokens = 32 // a statement with more takes memory from the heap

// analyst finds the traits of texts on a route.
type analyst struct {
	reads      []string
	idempotent []string
}

func newAnalyst(route spool.RouteSpec) analyst {
	return analyst{reads: route.Reads, idempotent: route.Idempotent}
}

// analyze looks at each statement of a text.
func (analyst analyst) analyze(text string) traits {
	var tokens [usualTokens]sqlToken
	found := traits{empty: true, read: true, idempotent: true}
	scanner := scanner{text: text}
	statements := 0
	for !scanner.done() {
		statement := scanner.statement(tokens[:])
		if len(statement.tokens) == 0 {
			continue
		}
		statements++
		analyst.add(&found, statement)
	}
	found.empty = statements == 0
	if found.own != nil && statements > 1 && found.refusal == nil {
		found.refusal = unsupported("%s must be sent on its own", found.own.name)
	}
	if found.begins && statements > 1 {
		found.idempotent = false
	}
	return found
}

func (analyst analyst) add(found *traits, statement statement) {
	if own, refusal := parseOwn(statement); own != nil || refusal != nil {
		found.own = own
		found.refusal = firstRefusal(found.refusal, refusal)
		return
	}
	found.refusal = firstRefusal(found.refusal, leak(statement))
	switch statement.word(0) {
	case "BEGIN", "START":
		found.begins = true
		found.read = found.read && statement.has("READ", "ONLY")
		return
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		found.ends = found.ends || endsTransaction(statement)
	}
	declared := hasPrefix(statement.text, analyst.reads)
	locking := locks(statement)
	found.read = found.read && (declared || readWords[statement.word(0)]) && !locking
	repeatable := hasPrefix(statement.text, analyst.idempotent) || declared && !locking
	found.idempotent = found.idempotent && repeatable
}

// endsTransaction tells that a statement ends the transaction and begins no other.
func endsTransaction(statement statement) bool {
	return !statement.has("TO") && !statement.has("PREPARED") && !statement.has("AND", "CHAIN")
}

func firstRefusal(first, second *spool.Refusal) *spool.Refusal {
	if first != nil {
		return first
	}
	return second
}

// locks tells that a statement takes locks or writes, whatever its first word says.
func locks(statement statement) bool {
	return statement.has("FOR", "UPDATE") || statement.has("FOR", "SHARE") ||
		statement.has("FOR", "NO", "KEY", "UPDATE") || statement.has("FOR", "KEY", "SHARE") ||
		statement.has("INTO") || statement.hasPrefix("PG_ADVISORY_") || statement.hasPrefix("PG_TRY_ADVISORY_")
}

func hasPrefix(text string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix) {
			return true
		}
	}
	return false
}
