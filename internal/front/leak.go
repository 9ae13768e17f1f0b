package front

import (
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

const sharedConnections = "since connections to servers are shared"

var leakingWords = map[string]bool{
	"LISTEN": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true, "DISCARD": true, "LOAD": true,
}

// leak refuses a statement that would leave state on a shared connection, or that needs one of its own.
func leak(statement statement) *spool.Refusal {
	first := statement.word(0)
	switch {
	case statement.excess:
		return notRun(codeTooLarge, "the statement is too complex")
	case leakingWords[first]:
		return unsupported("%s is not supported, %s", first, sharedConnections)
	case first == "COPY":
		return unsupported("COPY is not supported")
	case first == "SET" || first == "RESET":
		return leakingSet(statement)
	case first == "DECLARE" && statement.has("WITH", "HOLD"):
		return unsupported("DECLARE ... WITH HOLD is not supported, %s", sharedConnections)
	case temporary(statement):
		return unsupported("temporary relations are not supported, %s", sharedConnections)
	case first == "ROLLBACK" || first == "COMMIT":
		return nil
	}
	return leakingCall(statement)
}

func leakingSet(statement statement) *spool.Refusal {
	switch statement.word(1) {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return nil
	}
	return unsupported("%s %s is not supported, %s; use SET LOCAL in a transaction",
		statement.word(0), strings.ToLower(statement.word(1)), sharedConnections)
}

func temporary(statement statement) bool {
	if statement.word(0) == "CREATE" {
		for index := 1; index <= 4; index++ {
			word := statement.word(index)
			if word == "TEMP" || word == "TEMPORARY" {
				return true
			}
		}
	}
	return statement.has("INTO", "TEMP") || statement.has("INTO", "TEMPORARY")
}

// leakingCall looks for functions whose effect outlasts the transaction.
func leakingCall(statement statement) *spool.Refusal {
	for index := range statement.tokens {
		word := statement.word(index)
		advisory := strings.HasPrefix(word, "PG_ADVISORY_LOCK") || strings.HasPrefix(word, "PG_TRY_ADVISORY_LOCK")
		if advisory || word == "SET_CONFIG" {
			return unsupported("%s is not supported, %s", strings.ToLower(word), sharedConnections)
		}
	}
	return nil
}
