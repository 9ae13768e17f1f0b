package front_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
)

var queryModes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

func TestPgxInEveryQueryMode(t *testing.T) {
	for _, mode := range queryModes {
		t.Run(mode.String(), func(t *testing.T) {
			harness := newHarness(t)
			ctx := harness.context()
			client := harness.connect()
			for range 2 {
				_, err := client.Exec(ctx, "APPEND $1 $2", mode, "family", "it's paid")
				harness.Assert(err, qt.IsNil)
			}
			rows, err := client.Query(ctx, "LIST $1", mode, "family")
			harness.Assert(err, qt.IsNil)
			values, err := pgx.CollectRows(rows, pgx.RowTo[string])
			harness.Assert(err, qt.IsNil)
			harness.Assert(values, qt.DeepEquals, []string{"it's paid", "it's paid"})
			_, err = client.Exec(ctx, "BOOK $1", mode, "x")
			harness.Assert(pgError(err).Code, qt.Equals, "42601")
			var token string
			harness.Assert(client.QueryRow(ctx, "SHOW corianderspool.token", mode).Scan(&token), qt.IsNil)
			harness.Assert(token, qt.Equals, "kyushu/1/2")
			harness.Assert(client.PgConn().ParameterStatus("corianderspool.token"), qt.Equals, token)
			harness.Assert(harness.dispatcher.Executors(), qt.Equals, 0)
			harness.Assert(harness.dispatcher.Idle(), qt.Equals, 1)
		})
	}
}

func TestTransactions(t *testing.T) {
	for _, mode := range queryModes {
		t.Run(mode.String(), func(t *testing.T) {
			harness := newHarness(t)
			ctx := harness.context()
			client := harness.connect()
			tx, err := client.Begin(ctx)
			harness.Assert(err, qt.IsNil)
			_, err = tx.Exec(ctx, "PUT $1 $2", mode, "seat", "a")
			harness.Assert(err, qt.IsNil)
			harness.Assert(harness.dispatcher.Executors(), qt.Equals, 1)
			harness.Assert(tx.Commit(ctx), qt.IsNil)
			tx, err = client.Begin(ctx)
			harness.Assert(err, qt.IsNil)
			_, err = tx.Exec(ctx, "PUT $1 $2", mode, "seat", "b")
			harness.Assert(pgError(err).Code, qt.Equals, "23505")
			harness.Assert(tx.Commit(ctx), qt.ErrorIs, pgx.ErrTxCommitRollback)
			harness.Assert(harness.dispatcher.Executors(), qt.Equals, 0)
			recordedWork := harness.dispatcher.RecordedWork()
			harness.Assert(recordedWork, qt.HasLen, 2)
			harness.Assert(recordedWork[0].Read, qt.IsFalse)
			harness.Assert(recordedWork[1].Session.Token.Position > 0, qt.IsTrue)
		})
	}
}

func TestBatchAndPipeline(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect()
	batch := &pgx.Batch{}
	for range 20 {
		batch.Queue("APPEND $1 $2", "k", "v")
		batch.Queue("GET $1", "k")
	}
	harness.Assert(client.SendBatch(ctx, batch).Close(), qt.IsNil)

	pipeline := client.PgConn().StartPipeline(ctx)
	pipeline.SendPrepare("mine", "LIST $1", nil)
	pipeline.SendFlushRequest()
	harness.Assert(pipeline.Flush(), qt.IsNil)
	_, err := pipeline.GetResults()
	harness.Assert(err, qt.IsNil)
	pipeline.SendQueryPrepared("mine", [][]byte{[]byte("k")}, nil, nil)
	pipeline.SendQueryPrepared("none", nil, nil, nil)
	harness.Assert(pipeline.Sync(), qt.IsNil)
	_, err = pipeline.GetResults()
	harness.Assert(pgError(err).Code, qt.Equals, "26000")
	_, err = pipeline.GetResults()
	harness.Assert(err, qt.IsNil)
	harness.Assert(pipeline.Close(), qt.IsNil)
	harness.Assert(harness.dispatcher.Executors(), qt.Equals, 0)
	_, err = client.Exec(ctx, "PUT a b")
	harness.Assert(err, qt.IsNil)
}

func TestPreparedStatementNamesArePerSession(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	first, second := harness.connect(), harness.connect()
	_, err := first.Prepare(ctx, "get", "GET $1")
	harness.Assert(err, qt.IsNil)
	_, err = second.Prepare(ctx, "get", "LIST $1")
	harness.Assert(err, qt.IsNil)
	_, err = first.Exec(ctx, "APPEND k 1; APPEND k 2")
	harness.Assert(err, qt.IsNil)
	for range 3 {
		harness.Assert(countValues(ctx, harness, first), qt.Equals, 1)
		harness.Assert(countValues(ctx, harness, second), qt.Equals, 2)
	}
	harness.Assert(first.Deallocate(ctx, "get"), qt.IsNil)
	harness.Assert(countValues(ctx, harness, second), qt.Equals, 2)
	harness.Assert(harness.dispatcher.Idle(), qt.Equals, 1)
}

func countValues(ctx context.Context, harness *harness, client *pgx.Conn) int {
	rows, err := client.Query(ctx, "get", "k")
	harness.Assert(err, qt.IsNil)
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	harness.Assert(err, qt.IsNil)
	return len(values)
}

func TestReadOnlyTransaction(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect()
	harness.Assert(client.Ping(ctx), qt.IsNil)
	tx, err := client.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	harness.Assert(err, qt.IsNil)
	harness.Assert(tx.Rollback(ctx), qt.IsNil)
	recordedWork := harness.dispatcher.RecordedWork()
	harness.Assert(recordedWork, qt.HasLen, 1)
	harness.Assert(recordedWork[0].Read, qt.IsTrue)
}
