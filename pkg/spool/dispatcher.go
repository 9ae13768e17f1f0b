package spool

import (
	"context"
	"time"
)

// Login holds what is needed to authenticate a caller: its key, team, route and verifier.
type Login struct {
	Key      KeySpec // zero on an open route without a key
	Team     Team
	Route    RouteSpec
	Verifier string // empty when the route is open
}

// SessionEnd asks a connected caller's session to end; AtOnce aborts even a running transaction.
type SessionEnd struct {
	AtOnce  bool
	Refusal *Refusal
}

// Session is the state of a connected caller that admission and routing depend on.
type Session struct {
	Login  Login
	Token  SessionToken // newest position that the session has seen; zero before its first answer and without a token
	MaxAge time.Duration
}

// Work describes a transaction or single statement that needs a server.
type Work struct {
	Session    Session
	Read       bool // may run on a replica
	Idempotent bool // may run more than once
	Deadline   time.Time
}

// Dispatcher authenticates callers and admits and routes their work on behalf of the protocol front end.
type Dispatcher interface {
	// Login returns the key and route of a new caller, or the reason why the caller is refused.
	Login(key, route string) (Login, *Refusal)
	// Attach registers a connected session; the channel delivers requests to end it.
	Attach(login Login) (sessionEnds <-chan SessionEnd, detach func())
	// Begin admits work and returns an executor for it; errors are *Refusal with VerdictNotRun.
	Begin(ctx context.Context, work Work) (Executor, error)
}

// Executor runs the cycles of one transaction on one server.
type Executor interface {
	// Exchange sends one cycle and passes the answer's messages except ReadyForQuery to sink. An error of type *Refusal
	// means that sink received an incomplete answer or none.
	Exchange(ctx context.Context, cycle *Cycle, sink Sink) (Result, error)
	// Close releases the executor and rolls back an open transaction.
	Close()
}

// Cycle is a sequence of raw frontend messages that ends with Query, Sync or Flush.
type Cycle struct {
	Messages   []byte      // statement names refer to Statements
	Statements []Statement // definitions of the prepared statements that Messages refer to
	Replies    []Reply     // expected answers of the server, in order, if the cycle ends with Flush or has no error
	Flush      bool        // ends with Flush: no ReadyForQuery follows
}

// Statement is a prepared statement; its name is the hash of its text and parameter types.
type Statement struct {
	Name          string
	Query         string
	ParameterOIDs []uint32
}

// Reply is the kind of answer that a frontend message expects.
type Reply int

// Kinds of answers, named after the messages that they answer.
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

// Sink receives the raw backend messages of an answer; a message larger than the sender's buffer may be split over calls.
type Sink interface {
	Write(messages []byte) (int, error)
}

// Result is the outcome of a completed cycle.
type Result struct {
	TxStatus byte // I: idle, T: in a transaction, E: in a failed transaction; zero after Flush
	Token    SessionToken
	Replica  bool
	Sent     bool // bytes of the cycle were sent to a server
}
