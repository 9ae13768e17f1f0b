package regsrv

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// columns names the result columns of each statement that returns rows.
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

// command runs one statement, sends its rows and returns its command tag.
type command struct {
	Arguments int
	Run       func(ctx context.Context, session *session, arguments []string) (string, error)
	Control   bool // ends or orders something: runs without a slot
	Failed    bool // runs in a failed transaction
}

var commands = map[string]command{
	"SELECT":   {Arguments: 1, Run: runSelect},
	"GET":      {Arguments: 1, Run: runGet},
	"LIST":     {Arguments: 1, Run: runList},
	"PUT":      {Arguments: 2, Run: runPut},
	"APPEND":   {Arguments: 2, Run: runAppend},
	"ROWS":     {Arguments: 2, Run: runRows},
	"SLEEP":    {Arguments: 1, Run: runSleep},
	"BEGIN":    {Run: runBegin, Control: true},
	"COMMIT":   {Run: runCommit, Control: true, Failed: true},
	"ROLLBACK": {Run: runRollback, Control: true, Failed: true},
	"SET":      {Run: runSet, Control: true},
	"DISCARD":  {Arguments: 1, Run: runDiscard, Control: true},
	"POSITION": {Run: runPosition, Control: true},
	"PROMOTE":  {Arguments: 1, Run: runPromote, Control: true},
	"FOLLOW":   {Arguments: 2, Run: runFollow, Control: true},
	"LOG":      {Arguments: 2, Run: runLog, Control: true},
	"TERMS":    {Run: runTerms, Control: true},
}

// execute runs a statement and sends its answer up to CommandComplete.
func (session *session) execute(parsed statement, parameters []string, describe bool) error {
	arguments, err := parsed.arguments(parameters)
	if err != nil {
		return err
	}
	command, known := commands[parsed.Verb]
	if !known || len(arguments) < command.Arguments {
		return syntaxError(parsed.Text)
	}
	if !command.Control && len(arguments) > command.Arguments {
		return syntaxError(parsed.Text)
	}
	if session.state == txFailed && !command.Failed {
		return errFailedTx
	}
	if !session.replica {
		session.server.seen.statement(Executed{session.id, parsed.Verb, slices.Clone(arguments)})
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
	ctx, cancel := session.begin()
	defer cancel()
	if command.Control {
		return command.Run(ctx, session, arguments)
	}
	server := session.server
	select {
	case server.slots <- struct{}{}:
	case <-ctx.Done():
		return "", errCanceled
	}
	defer func() { <-server.slots }()
	server.seen.executing(1)
	defer server.seen.executing(-1)
	if err := wait(ctx, server.currentFaults().WorkTime); err != nil {
		return "", err
	}
	return command.Run(ctx, session, arguments)
}

// wait sleeps for the duration and fails if the statement is canceled.
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
