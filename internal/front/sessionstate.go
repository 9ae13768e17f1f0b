package front

import (
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

const sharedConnectionsReason = "since connections to servers are shared"

var unsupportedKeywords = map[string]bool{
	"LISTEN": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DISCARD": true, "LOAD": true,
}

// checkSessionState refuses a statement that would leave session state on a shared connection or that needs a dedicated
// connection.
func checkSessionState(statement statement) *spool.Refusal {
	first := statement.word(0)
	switch {
	case statement.truncated:
		return notRun(codeTooLarge, "the statement is too complex")
	case unsupportedKeywords[first]:
		return unsupported("%s is not supported, %s", first, sharedConnectionsReason)
	case first == "COPY":
		return unsupported("COPY is not supported")
	case first == "SET" || first == "RESET":
		return checkSet(statement)
	case first == "DECLARE" && statement.hasWords("WITH", "HOLD"):
		return unsupported("DECLARE ... WITH HOLD is not supported, %s", sharedConnectionsReason)
	case createsTemporary(statement):
		return unsupported("temporary relations are not supported, %s", sharedConnectionsReason)
	case first == "ROLLBACK" || first == "COMMIT":
		return nil
	}
	return checkFunctionCalls(statement)
}

func checkSet(statement statement) *spool.Refusal {
	switch statement.word(1) {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return nil
	}
	return unsupported("%s %s is not supported, %s; use SET LOCAL in a transaction",
		statement.word(0), strings.ToLower(statement.word(1)), sharedConnectionsReason)
}

func createsTemporary(statement statement) bool {
	if statement.word(0) == "CREATE" {
		for index := 1; index <= 4; index++ {
			word := statement.word(index)
			if word == "TEMP" || word == "TEMPORARY" {
				return true
			}
		}
	}
	return statement.hasWords("INTO", "TEMP") || statement.hasWords("INTO", "TEMPORARY")
}

// checkFunctionCalls refuses functions whose effect may outlast the transaction.
func checkFunctionCalls(statement statement) *spool.Refusal {
	for index := range statement.tokens {
		word := statement.word(index)
		advisory := strings.HasPrefix(word, "PG_ADVISORY_LOCK") || strings.HasPrefix(word, "PG_TRY_ADVISORY_LOCK")
		if advisory || word == "SET_CONFIG" {
			return unsupported("%s is not supported, %s", strings.ToLower(word), sharedConnectionsReason)
		}
	}
	return nil
}
