package regsrv

import (
	"fmt"

	"corianderspool.example/spool/pkg/spool"
	"github.com/jackc/pgx/v5/pgproto3"
)

// sqlError is an error that is sent to the client; a fatal one ends the connection.
type sqlError struct {
	Code    string
	Message string
	Fatal   bool
}

// Error returns the message without the code.
func (sqlError *sqlError) Error() string { return sqlError.Message }

var (
	errReadOnly           = &sqlError{Code: "25006", Message: "cannot write on a read-only replica"}
	errCanceled           = &sqlError{Code: "57014", Message: "canceling statement due to user request"}
	errTxAborted          = &sqlError{Code: "25P02", Message: "current transaction is aborted"}
	errNotPrimary         = &sqlError{Code: "55000", Message: "this server is not the primary"}
	errTooManyConnections = &sqlError{Code: "53300", Message: "sorry, too many clients already", Fatal: true}
	errWrongPassword      = &sqlError{Code: "28P01", Message: "password authentication failed", Fatal: true}
	errPrimaryUnreachable = &sqlError{Code: "57P03", Message: "the primary to follow is out of reach"}
)

func syntaxError(text string) *sqlError {
	return &sqlError{Code: "42601", Message: fmt.Sprintf("syntax error in %.80q", text)}
}

func duplicateKeyError(key string) *sqlError {
	return &sqlError{Code: "23505", Message: fmt.Sprintf("key %.80q already exists", key)}
}

func staleTermError(term spool.Term) *sqlError {
	return &sqlError{Code: "55000", Message: fmt.Sprintf("term %d is not newer than the server's", term)}
}

func (sqlError *sqlError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if sqlError.Fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                sqlError.Code,
		Message:             sqlError.Message,
	}
}
