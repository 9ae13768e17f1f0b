package back

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const copyUnsupported = "COPY is not supported through corianderspool"

// handleError forwards an ErrorResponse of the server, or turns it into a refusal if the cycle may be retried.
func (forwarder *responseForwarder) handleError(size int) error {
	forwarder.failed = true
	if forwarder.copyFailSent {
		forwarder.copyFailSent = false
		if err := forwarder.discard(size); err != nil {
			return err
		}
		return forwarder.writeCopyError()
	}
	if size > len(forwarder.buffer) {
		return forwarder.forward(size)
	}
	if err := forwarder.readAtLeast(size); err != nil {
		return err
	}
	var response pgproto3.ErrorResponse
	if err := response.Decode(forwarder.buffer[forwarder.start+headerSize : forwarder.start+size]); err != nil {
		return err
	}
	forwarder.invalidateStatements(response.Code)
	if isFatal(&response) {
		return forwarder.handleFatal(&response)
	}
	if response.Code == spool.CodeReadOnly && forwarder.retryable() {
		forwarder.refusal = notRunRefusal(&response)
		forwarder.pending = forwarder.pending[:0]
		forwarder.discarding = true
		return forwarder.discard(size)
	}
	forwarder.resultStarted = true
	return forwarder.forward(size)
}

// retryable reports whether the cycle had no effect and no message of its response reached the caller.
func (forwarder *responseForwarder) retryable() bool {
	return forwarder.startedIdle && !forwarder.sinkWritten && !forwarder.mayHaveCommitted &&
		forwarder.refusal == nil && !forwarder.discarding
}

func isFatal(response *pgproto3.ErrorResponse) bool {
	severity := response.SeverityUnlocalized
	if severity == "" {
		severity = response.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}

// handleFatal ends the connection and returns the server's reason as an error.
func (forwarder *responseForwarder) handleFatal(response *pgproto3.ErrorResponse) error {
	if !forwarder.retryable() || forwarder.resultStarted || !isSessionRefusal(response.Code) {
		return eris.New(response.Code + " " + response.Message)
	}
	forwarder.refusal = notRunRefusal(response)
	forwarder.Close()
	forwarder.discarding = true
	return eris.New(response.Message)
}

func isSessionRefusal(code string) bool {
	return code == spool.CodeShutdown || code == spool.CodeNoPrimary || code == spool.CodeNoSlot
}

func notRunRefusal(response *pgproto3.ErrorResponse) *spool.Refusal {
	return &spool.Refusal{Verdict: spool.VerdictNotRun, Code: response.Code, Message: response.Message}
}

// invalidateStatements marks the statements of the cycle to be prepared again if the error code shows that the server no
// longer has one or that its result types changed.
func (forwarder *responseForwarder) invalidateStatements(code string) {
	if code != "26000" && code != spool.CodeUnsupported {
		return
	}
	for _, statement := range forwarder.cycle.Statements {
		forwarder.prepared.invalidate(statement.Name)
	}
}

// handleParameterStatus records the position that the server reports and forwards other parameters.
func (forwarder *responseForwarder) handleParameterStatus(size int) error {
	if size > len(forwarder.buffer) {
		return eris.New("ParameterStatus is too large")
	}
	if err := forwarder.readAtLeast(size); err != nil {
		return err
	}
	name, rest, _ := cutString(forwarder.buffer[forwarder.start+headerSize : forwarder.start+size])
	if string(name) != positionParameter {
		forwarder.parametersChanged = true
		return forwarder.forward(size)
	}
	value, _, _ := cutString(rest)
	token, err := parsePosition(string(value))
	if err != nil {
		return err
	}
	forwarder.token = token
	return forwarder.discard(size)
}

// refuseCopy answers the messages of COPY, which the proxy does not support: CopyFail to the server, an error to the
// caller.
func (forwarder *responseForwarder) refuseCopy(kind byte, size int) error {
	forwarder.closeWhenIdle = true
	switch kind {
	case 'W':
		return eris.New("the server started a replication stream")
	case 'G':
		if err := forwarder.discard(size); err != nil {
			return err
		}
		forwarder.copyFailSent = true
		message := encodeFrontend(nil, &pgproto3.CopyFail{Message: copyUnsupported})
		if forwarder.expected[forwarder.next].reply != spool.ReplyQuery {
			message = append(message, syncMessage...)
		}
		_, err := forwarder.socket.Write(message)
		return err
	}
	if err := forwarder.discard(size); err != nil {
		return err
	}
	if kind != 'H' || forwarder.discarding {
		return nil
	}
	return forwarder.writeCopyError()
}

// writeCopyError sends the caller an error and discards the rest of the server's response.
func (forwarder *responseForwarder) writeCopyError() error {
	response := pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                spool.CodeUnsupported,
		Message:             copyUnsupported,
	}
	message, err := response.Encode(nil)
	if err != nil {
		return err
	}
	forwarder.resultStarted = true
	forwarder.enqueue(message)
	forwarder.failed = true
	forwarder.discarding = true
	return nil
}
