package spool

import "time"

// Verb is the operation of a statement in a simple command protocol.
type Verb int

// Verbs of commands.
const (
	VerbUnknown Verb = iota
	VerbBegin
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	VerbSet
	VerbPrepare
	VerbExecute
	VerbDeallocate
	VerbReset  // discards a connection's values and prepared statements
	VerbStatus // queries a server's role and positions
	VerbPause  // pauses replication on a replica
	VerbResume // resumes replication on a replica
)

// Command is one statement, independent of the wire format.
type Command struct {
	ID          string // request ID of the caller; empty for statements that the proxy issues itself
	Verb        Verb
	Name        string      // of the value or prepared statement
	Text        string      // value of Set, statement of Prepare, arguments of Execute, item and data of Read and Write
	Writes      bool        // the prepared statement writes
	MinPosition LogPosition // that the server must have reached
	Term        Term        // of Pause
}

// TxState is the transaction state of a session or connection.
type TxState byte

// Transaction states, with the letters that the PostgreSQL protocol gives them.
const (
	TxIdle   TxState = 'I'
	TxOpen   TxState = 'T'
	TxFailed TxState = 'E'
)

// Answer is the complete answer to a command.
type Answer struct {
	Rows     [][]byte
	Digest   string // the server's signature of the answer
	Refusal  *Refusal
	State    TxState
	Position LogPosition // of the server's log; zero if unknown
}

// MessageKind is the kind of a caller's message.
type MessageKind int

// Kinds of messages of a caller.
const (
	MessageOpen MessageKind = iota
	MessageCommand
	MessageClose
	MessageInvalid
)

// CallerMessage is one message of a caller.
type CallerMessage struct {
	Kind    MessageKind
	Route   string
	Key     string
	Command Command
	Reason  string // why the message is invalid
}

// CallerConn is the connection of a caller.
type CallerConn interface {
	// Receive returns the next message or an error of the connection, such as os.ErrDeadlineExceeded; the zero time sets
	// no deadline.
	Receive(deadline time.Time) (CallerMessage, error)
	// Buffered reports whether a message or part of one was received and not read yet.
	Buffered() bool
	// Accept confirms the opening of a session.
	Accept() error
	// Answer sends the complete answer to a command.
	Answer(answer Answer) error
	// Reject sends the reason why the session cannot open or continue; the caller of Reject closes the connection next.
	Reject(refusal *Refusal) error
	// Interrupt makes a blocked Receive return.
	Interrupt()
	Close() error
}

// CloseWatcher is a CallerConn that notices while a command waits that the caller has closed its connection.
type CloseWatcher interface {
	// WatchClose calls closed, at most once, when the caller closes the connection. The watch ends with stop, which must be
	// called before the next Receive, or when the caller sends more.
	WatchClose(closed func()) (stop func())
}
