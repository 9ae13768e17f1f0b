package spool

import "time"

// Verb is what a statement of a simple command protocol asks for.
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
	VerbReset  // drops a connection's values and prepared statements
	VerbStatus // asks a server for its role and positions
	VerbPause  // stops a replica from receiving
	VerbResume // lets a replica receive again
)

// Command is one statement, free of any wire format.
type Command struct {
	ID          string // request id of the caller; empty for statements that the proxy issues itself
	Verb        Verb
	Name        string // of the value or prepared statement
	Text        string // value of Set, shape of Prepare, arguments of Execute, item and data of Read and Write
	Writes      bool   // the prepared shape writes
	MinPosition LogPosition
	Term        Term // of Pause
}

// TxState tells where a session or connection stands with its transaction.
type TxState byte

// Transaction states, with the letters that the PostgreSQL protocol gives them.
const (
	TxIdle   TxState = 'I'
	TxOpen   TxState = 'T'
	TxFailed TxState = 'E'
)

// Answer is the whole answer to a command.
type Answer struct {
	Rows     [][]byte
	Digest   string // the server's signature of the answer
	Refusal  *Refusal
	State    TxState
	Position LogPosition // of the server's log; zero when not known
}

// MessageKind tells what a caller's message is.
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
	// Receive returns the next message; its errors are those of the connection, os.ErrDeadlineExceeded among them.
	// The zero time sets no deadline.
	Receive(deadline time.Time) (CallerMessage, error)
	// Buffered tells if a message or part of one was received and not read yet.
	Buffered() bool
	// Accept confirms the opening of a session.
	Accept() error
	// Answer sends the whole answer to a command.
	Answer(answer Answer) error
	// Reject tells why the session cannot open or go on; the connection is closed next.
	Reject(refusal *Refusal) error
	// Interrupt makes a waiting Receive return.
	Interrupt()
	// Close ends the connection.
	Close() error
}
