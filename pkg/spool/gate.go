package spool

import (
	"context"
	"time"
)

// Login is what the caller-facing side needs to check a caller's key.
type Login struct {
	Key      KeySpec // zero on an open route without a key
	Team     Team
	Route    RouteSpec
	Verifier string // empty when the route is open
}

// Ending tells a connected caller's session to end; At once cuts even a running transaction.
type Ending struct {
	AtOnce  bool
	Refusal *Refusal
}

// Session is one connected caller, as the decisions see it.
type Session struct {
	Login  Login
	Token  SessionToken // what the session has seen; zero before its first answer and without a token
	MaxAge time.Duration
}

// Work is the first cycle of a transaction, or a single statement, that asks for a server.
type Work struct {
	Session    Session
	Read       bool // may run on a replica
	Idempotent bool // may run more than once
	Deadline   time.Time
}

// Gate makes the decisions for the caller-facing side.
type Gate interface {
	// Login finds the key and route of a new caller or says why it may not enter.
	Login(key, route string) (Login, *Refusal)
	// Attach registers a connected session; the channel tells it to end.
	Attach(login Login) (endings <-chan Ending, detach func())
	// Begin admits work; errors are *Refusal and say "not run".
	Begin(ctx context.Context, work Work) (Executor, error)
}

// Executor is the way to one server for the length of a transaction.
type Executor interface {
	// Exchange sends one cycle and passes the answer's messages, all but ReadyForQuery, to sink.
	// An error of type *Refusal means that sink got an incomplete answer or none.
	Exchange(ctx context.Context, cycle *Cycle, sink Sink) (Result, error)
	// Close gives the executor back; it rolls back what is still open.
	Close()
}

// Cycle is a run of raw frontend messages that ends in Query, Sync or Flush.
type Cycle struct {
	Messages   []byte      // statement names are those of Statements
	Statements []Statement // definitions of the prepared statements that Messages name
	Replies    []Reply     // the answers that a server owes, in order, when it ends in Flush or has no error
	Flush      bool        // ends in Flush: no ReadyForQuery is due
}

// Statement is a prepared statement, named by the hash of its text and parameter types.
type Statement struct {
	Name          string
	Query         string
	ParameterOIDs []uint32
}

// Reply is one answer that an extended-protocol message is owed.
type Reply int

// Replies to the messages of a cycle.
const (
	ReplyQuery Reply = iota
	ReplyParse
	ReplyBind
	ReplyDescribeStatement
	ReplyDescribePortal
	ReplyExecute
	ReplyClose
	ReplySync
)

// Sink takes the raw backend messages of an answer; a message larger than the sender's buffer may be split over calls.
type Sink interface {
	Write(messages []byte) (int, error)
}

// Result is what a completed cycle left behind.
type Result struct {
	TxStatus byte // I idle, T in a transaction, E in a failed transaction; zero after Flush
	Token    SessionToken
	Replica  bool
	Sent     bool // bytes of the cycle reached a server
}
