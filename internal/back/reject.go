package back

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const copyRefused = "COPY is not supported through corianderspool"

// errorResponse handles an error of the server: passed on, or turned into a refusal when the cycle may be retried.
func (answer *answer) errorResponse(size int) error {
	answer.failed = true
	if answer.copying {
		answer.copying = false
		if err := answer.drop(size); err != nil {
			return err
		}
		return answer.rejectCopy()
	}
	if size > len(answer.buffer) {
		return answer.pass(size)
	}
	if err := answer.ensure(size); err != nil {
		return err
	}
	var response pgproto3.ErrorResponse
	if err := response.Decode(answer.buffer[answer.start+headerSize : answer.start+size]); err != nil {
		return err
	}
	answer.expireStatements(response.Code)
	if fatal(&response) {
		return answer.fatal(&response)
	}
	if response.Code == spool.CodeReadOnly && answer.retryable() {
		answer.refusal = notRun(&response)
		answer.pending = answer.pending[:0]
		answer.muted = true
		return answer.drop(size)
	}
	answer.begun = true
	return answer.pass(size)
}

// retryable tells that the cycle had no effect and that the caller has seen nothing of it.
func (answer *answer) retryable() bool {
	return answer.fresh && !answer.sent && !answer.committed && answer.refusal == nil && !answer.muted
}

func fatal(response *pgproto3.ErrorResponse) bool {
	severity := response.SeverityUnlocalized
	if severity == "" {
		severity = response.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}

// fatal ends the connection; the error it returns is the server's reason.
func (answer *answer) fatal(response *pgproto3.ErrorResponse) error {
	if !answer.retryable() || answer.begun || !refusesSessions(response.Code) {
		return eris.New(response.Code + " " + response.Message)
	}
	answer.refusal = notRun(response)
	answer.Close()
	answer.muted = true
	return eris.New(response.Message)
}

func refusesSessions(code string) bool {
	return code == spool.CodeShutdown || code == spool.CodeNoPrimary || code == spool.CodeNoSlot
}

func notRun(response *pgproto3.ErrorResponse) *spool.Refusal {
	return &spool.Refusal{Verdict: spool.VerdictNotRun, Code: response.Code, Message: response.Message}
}

// expireStatements has statements that the server no longer knows, or whose result types changed, prepared anew.
func (answer *answer) expireStatements(code string) {
	if code != "26000" && code != spool.CodeUnsupported {
		return
	}
	for _, statement := range answer.cycle.Statements {
		answer.prepared.expire(statement.Name)
	}
}

// parameterStatus keeps the server's position and passes other parameters on.
func (answer *answer) parameterStatus(size int) error {
	if size > len(answer.buffer) {
		return eris.New("ParameterStatus is too large")
	}
	if err := answer.ensure(size); err != nil {
		return err
	}
	name, rest, _ := cutString(answer.buffer[answer.start+headerSize : answer.start+size])
	if string(name) != positionParameter {
		answer.tainted = true
		return answer.pass(size)
	}
	value, _, _ := cutString(rest)
	token, err := parsePosition(string(value))
	if err != nil {
		return err
	}
	answer.token = token
	return answer.drop(size)
}

// copyMessage refuses COPY in the server's and the caller's stead.
func (answer *answer) copyMessage(kind byte, size int) error {
	answer.retired = true
	switch kind {
	case 'W':
		return eris.New("the server began a replication stream")
	case 'G':
		if err := answer.drop(size); err != nil {
			return err
		}
		answer.copying = true
		message := encodeFrontend(nil, &pgproto3.CopyFail{Message: copyRefused})
		if answer.steps[answer.next].reply != spool.ReplyQuery {
			message = append(message, syncMessage...)
		}
		_, err := answer.socket.Write(message)
		return err
	}
	if err := answer.drop(size); err != nil {
		return err
	}
	if kind != 'H' || answer.muted {
		return nil
	}
	return answer.rejectCopy()
}

// rejectCopy answers with an error and drops the rest of the server's answer.
func (answer *answer) rejectCopy() error {
	response := pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                spool.CodeUnsupported,
		Message:             copyRefused,
	}
	message, err := response.Encode(nil)
	if err != nil {
		return err
	}
	answer.begun = true
	answer.emit(message)
	answer.failed = true
	answer.muted = true
	return nil
}
