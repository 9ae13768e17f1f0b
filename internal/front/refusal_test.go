package front_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

func TestSessionStateStatementsAreRefused(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect()
	for _, text := range []string{
		"LISTEN a", "/* a */ listen a", "SELECT 1; LISTEN a", "PREPARE a AS GET b", "EXECUTE a", "DEALLOCATE ALL",
		"DISCARD ALL", "DECLARE a CURSOR WITH HOLD FOR GET b", "CREATE TEMP TABLE a ()", "CREATE LOCAL TEMPORARY TABLE a ()",
		"SELECT a INTO TEMP b", "SELECT pg_advisory_lock(1)", "SELECT pg_catalog.\"pg_try_advisory_lock\"(1)",
		"SET search_path = a", "SET SESSION AUTHORIZATION a", "RESET ALL", "SELECT set_config('a', 'b', false)",
		"COPY a FROM STDIN", "copy a to stdout",
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			_, err := client.Exec(ctx, text, mode)
			harness.Assert(pgError(err).Code, qt.Equals, spool.CodeUnsupported, qt.Commentf(text))
			harness.Assert(pgError(err).Detail, qt.Equals, "The statement was not run.")
		}
	}
	harness.Assert(harness.server.Activity().Statements, qt.HasLen, 0)
	tx, err := client.Begin(ctx)
	harness.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "SET LOCAL search_path = a")
	harness.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "PUT a b")
	harness.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "LISTEN a")
	harness.Assert(pgError(err).Code, qt.Equals, spool.CodeUnsupported)
	_, err = tx.Exec(ctx, "PUT c d")
	harness.Assert(pgError(err).Code, qt.Equals, "25P02")
	harness.Assert(tx.Commit(ctx), qt.ErrorIs, pgx.ErrTxCommitRollback)
	harness.Assert(harness.server.Log(), qt.HasLen, 0)
	_, err = client.Exec(ctx, "PUT a b")
	harness.Assert(err, qt.IsNil)
}

func TestSessionParameters(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect("application_name", "counter 3", "corianderspool.max_age", "1s")
	for _, example := range []struct{ set, name, value string }{
		{"SELECT 1", "application_name", "counter 3"},
		{"SELECT 1", "corianderspool.max_age", "1s"},
		{"SET application_name TO 'it''s'", "application_name", "it's"},
		{"set session corianderspool.max_age = '250ms'", "corianderspool.max_age", "250ms"},
		{"SET corianderspool.token = 'kyushu/3/4'", "corianderspool.token", "kyushu/3/4"},
		{"RESET corianderspool.token", "corianderspool.token", ""},
	} {
		for _, mode := range queryModes {
			_, err := client.Exec(ctx, example.set, mode)
			harness.Assert(err, qt.IsNil, qt.Commentf(example.set))
			var value string
			harness.Assert(client.QueryRow(ctx, "SHOW "+example.name, mode).Scan(&value), qt.IsNil)
			harness.Assert(value, qt.Equals, example.value)
		}
	}
	_, err := client.Exec(ctx, "SET corianderspool.max_age = 'soon'")
	harness.Assert(pgError(err).Code, qt.Equals, "22023")
	for _, executed := range harness.server.Activity().Statements {
		harness.Assert(executed.Verb, qt.Equals, "SELECT")
	}
}

func TestDispatcherRefusals(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect()
	harness.dispatcher.Refuse = func(spool.Work) *spool.Refusal {
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun, Code: spool.CodeRateExceeded,
			Message: "over the rate", RetryAfter: 350 * time.Millisecond,
		}
	}
	for _, mode := range queryModes {
		_, err := client.Exec(ctx, "PUT $1 b", mode, "a")
		harness.Assert(pgError(err).Code, qt.Equals, spool.CodeRateExceeded)
		harness.Assert(pgError(err).Detail, qt.Equals, "The statement was not run.")
		harness.Assert(pgError(err).Hint, qt.Equals, "Retry after 350ms.")
		harness.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
	}
}

// lossyExecutor loses the connection to its server during a statement that contains text.
type lossyExecutor struct {
	spool.Executor
	harness *harness
	text    string
}

// Exchange sends the cycle; if it contains the text, the server's connections are closed 20 ms later.
func (lossyExecutor lossyExecutor) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if strings.Contains(string(cycle.Messages), lossyExecutor.text) {
		cut := true
		time.AfterFunc(20*time.Millisecond, func() { lossyExecutor.harness.server.UpdateFaults(regsrv.FaultUpdate{CutClients: &cut}) })
	}
	return lossyExecutor.Executor.Exchange(ctx, cycle, sink)
}

func TestServerLostInTransaction(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect()
	harness.dispatcher.Wrap = func(executor spool.Executor) spool.Executor {
		return lossyExecutor{executor, harness, "SLEEP"}
	}
	tx, err := client.Begin(ctx)
	harness.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "SLEEP 60000")
	harness.Assert(pgError(err).Code, qt.Equals, "40000")
	harness.Assert(pgError(err).Detail, qt.Equals, "The statement was not run.")
	harness.Assert(client.PgConn().TxStatus(), qt.Equals, byte('E'))
	_, err = tx.Exec(ctx, "PUT $1 b", "a")
	harness.Assert(pgError(err).Code, qt.Equals, "25P02")
	harness.Assert(tx.Rollback(ctx), qt.IsNil)
	_, err = client.Exec(ctx, "PUT a b")
	harness.Assert(pgError(err).Detail, qt.Equals, "The statement was not run.")
	harness.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
}

func TestServerLostOutsideTransaction(t *testing.T) {
	for _, mode := range queryModes {
		harness := newHarness(t)
		ctx := harness.context()
		client := harness.connect()
		harness.dispatcher.Wrap = func(executor spool.Executor) spool.Executor {
			return lossyExecutor{executor, harness, "SLEEP"}
		}
		if mode == pgx.QueryExecModeCacheStatement {
			harness.dispatcher.Wrap = func(executor spool.Executor) spool.Executor {
				return lossyExecutor{executor, harness, "\x00\x0560000"}
			}
		}
		_, err := client.Exec(ctx, "SLEEP $1", mode, "60000")
		harness.Assert(pgError(err).Code, qt.Equals, spool.CodeOutcomeUnknown, qt.Commentf(mode.String()))
		harness.Assert(pgError(err).Detail, qt.Matches, "The outcome is not known: .*")
		harness.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
	}
}

func TestCommitWithLostResponse(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		harness := newHarness(t)
		ctx := harness.context()
		client := harness.connect()
		harness.dispatcher.Wrap = func(executor spool.Executor) spool.Executor {
			return lossyExecutor{executor, harness, "commit"}
		}
		_, err := client.Exec(ctx, "begin", mode)
		harness.Assert(err, qt.IsNil)
		frozen := spool.Duration(100 * time.Millisecond)
		harness.server.UpdateFaults(regsrv.FaultUpdate{FrozenFor: &frozen})
		_, err = client.Exec(ctx, "commit", mode)
		harness.Assert(pgError(err).Code, qt.Equals, spool.CodeOutcomeUnknown)
		harness.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
	}
}

func TestOversizedMessagesAndCycles(t *testing.T) {
	harness := newHarness(t, front.WithMessageSize(1<<20), front.WithCycleSize(2<<20))
	ctx := harness.context()
	client, other := harness.connect(), harness.connect()
	large := strings.Repeat("x", 900<<10)
	batch := &pgx.Batch{}
	for range 3 {
		batch.Queue("APPEND $1 $2", "k", large)
	}
	_, err := client.Exec(ctx, "GET $1", pgx.QueryExecModeExec, "k")
	harness.Assert(err, qt.IsNil)
	harness.Assert(pgError(client.SendBatch(ctx, batch).Close()).Code, qt.Equals, "54000")
	_, err = client.Exec(ctx, "APPEND $1 $2", "k", large)
	harness.Assert(err, qt.IsNil)
	_, err = client.Exec(ctx, "APPEND $1 $2", "k", large+large)
	harness.Assert(pgError(err).Code, qt.Equals, "54000")
	harness.Assert(client.IsClosed(), qt.IsTrue)
	harness.Assert(other.Ping(ctx), qt.IsNil)
	harness.Assert(harness.server.Log(), qt.HasLen, 1)
}

func TestIdleTransactionTimesOut(t *testing.T) {
	harness := newHarness(t, front.WithTransactionTimeout(20*time.Millisecond))
	client := harness.connect()
	_, err := client.Begin(harness.context())
	harness.Assert(err, qt.IsNil)
	harness.Assert(pgError(client.PgConn().WaitForNotification(harness.context())).Code, qt.Equals, "25P03")
	harness.eventually(func() bool { return harness.dispatcher.Executors() == 0 })
}
