package regsrv

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// columns holds the result columns of each statement that returns rows.
var columns = map[string][]string{
	"SELECT":   {"?column?"},
	"GET":      {"value"},
	"LIST":     {"value"},
	"ROWS":     {"value"},
	"POSITION": {"term", "position", "primary", "start"},
	"PROMOTE":  {"term", "position", "primary", "start"},
	"LOG":      {"record"},
	"TERMS":    {"terms", "position"},
}

// command describes a statement: Run executes it, sends its rows and returns its command tag.
type command struct {
	RequiredArguments int
	Run               func(ctx context.Context, session *session, arguments []string) (string, error)
	WithoutSlot       bool // runs without a slot and accepts more than the required arguments
	InFailedTx        bool // allowed in a failed transaction
}

var commands = map[string]command{
	"SELECT":   {RequiredArguments: 1, Run: runSelect},
	"GET":      {RequiredArguments: 1, Run: runGet},
	"LIST":     {RequiredArguments: 1, Run: runList},
	"PUT":      {RequiredArguments: 2, Run: runPut},
	"APPEND":   {RequiredArguments: 2, Run: runAppend},
	"ROWS":     {RequiredArguments: 2, Run: runRows},
	"SLEEP":    {RequiredArguments: 1, Run: runSleep},
	"BEGIN":    {Run: runBegin, WithoutSlot: true},
	"COMMIT":   {Run: runCommit, WithoutSlot: true, InFailedTx: true},
	"ROLLBACK": {Run: runRollback, WithoutSlot: true, InFailedTx: true},
	"SET":      {Run: runSet, WithoutSlot: true},
	"DISCARD":  {RequiredArguments: 1, Run: runDiscard, WithoutSlot: true},
	"POSITION": {Run: runPosition, WithoutSlot: true},
	"PROMOTE":  {RequiredArguments: 1, Run: runPromote, WithoutSlot: true},
	"FOLLOW":   {RequiredArguments: 2, Run: runFollow, WithoutSlot: true},
	"LOG":      {RequiredArguments: 2, Run: runLog, WithoutSlot: true},
	"TERMS":    {Run: runTerms, WithoutSlot: true},
}

// execute runs a statement and sends its response up to CommandComplete.
func (session *session) execute(parsed statement, parameters []string, describe bool) error {
	arguments, err := parsed.arguments(parameters)
	if err != nil {
		return err
	}
	command, known := commands[parsed.Verb]
	if !known || len(arguments) < command.RequiredArguments {
		return syntaxError(parsed.Text)
	}
	if !command.WithoutSlot && len(arguments) > command.RequiredArguments {
		return syntaxError(parsed.Text)
	}
	if session.txState == txFailed && !command.InFailedTx {
		return errTxAborted
	}
	if !session.replica {
		session.server.recorder.recordStatement(ExecutedStatement{session.id, parsed.Verb, slices.Clone(arguments)})
	}
	if names := columns[parsed.Verb]; describe && names != nil {
		session.sendColumns(names)
	}
	tag, err := session.runCommand(command, arguments)
	if err != nil {
		return err
	}
	session.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (session *session) runCommand(command command, arguments []string) (string, error) {
	ctx, cancel := session.beginStatement()
	defer cancel()
	if command.WithoutSlot {
		return command.Run(ctx, session, arguments)
	}
	server := session.server
	select {
	case server.slots <- struct{}{}:
	case <-ctx.Done():
		return "", errCanceled
	}
	defer func() { <-server.slots }()
	server.recorder.addExecuting(1)
	defer server.recorder.addExecuting(-1)
	if err := wait(ctx, server.currentFaults().WorkTime); err != nil {
		return "", err
	}
	return command.Run(ctx, session, arguments)
}

// wait sleeps for the duration; it fails if the context ends first.
func wait(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errCanceled
	}
}
