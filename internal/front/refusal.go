package front

import (
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"

	codeTooLarge          = "54000" // program_limit_exceeded
	codeInvalidValue      = "22023" // invalid_parameter_value
	codeRolledBack        = "40000" // transaction_rollback
	codeFailedTransaction = "25P02" // in_failed_sql_transaction
	codeIdleTransaction   = "25P03" // idle_in_transaction_session_timeout
	codeInternal          = "XX000" // internal_error
	codeUnknownSetting    = "42704" // undefined_object
	codeSyntax            = "42601" // syntax_error
	codeUnknownStatement  = "26000" // invalid_sql_statement_name

	closeTimeout = 500 * time.Millisecond // for the last reads and writes on a connection that is being closed
)

// errorResponse converts a refusal to the ErrorResponse for the caller.
func errorResponse(refusal *spool.Refusal, severity string) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                refusal.Code,
		Message:             refusal.Message,
	}
	switch refusal.Verdict {
	case spool.VerdictNotRun:
		response.Detail = "The statement was not run."
	case spool.VerdictUnknown:
		response.Detail = "The outcome is not known: a server may have run the statement."
	}
	if refusal.RetryAfter > 0 {
		response.Hint = fmt.Sprintf("Retry after %s.", refusal.RetryAfter)
	}
	return response
}

// unsupported returns a refusal of a feature that the proxy does not support, mostly because server connections are
// shared.
func unsupported(format string, arguments ...any) *spool.Refusal {
	return notRun(spool.CodeUnsupported, format, arguments...)
}

// notRun returns a refusal with VerdictNotRun and the given SQLSTATE code.
func notRun(code, format string, arguments ...any) *spool.Refusal {
	return &spool.Refusal{Verdict: spool.VerdictNotRun, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// refuse sends the refusal to a caller that has not logged in and closes the connection.
func refuse(socket net.Conn, refusal *spool.Refusal) {
	message, err := errorResponse(refusal, severityFatal).Encode(nil)
	if err == nil {
		_ = socket.SetWriteDeadline(time.Now().Add(closeTimeout))
		_, _ = socket.Write(message)
	}
	_ = socket.Close()
}
