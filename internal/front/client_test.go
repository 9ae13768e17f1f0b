package front_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
)

var modes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

func TestStockClientInEveryQueryMode(t *testing.T) {
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			bed := newBed(t)
			ctx := bed.context()
			client := bed.connect()
			for range 2 {
				_, err := client.Exec(ctx, "APPEND $1 $2", mode, "family", "it's paid")
				bed.Assert(err, qt.IsNil)
			}
			rows, err := client.Query(ctx, "LIST $1", mode, "family")
			bed.Assert(err, qt.IsNil)
			values, err := pgx.CollectRows(rows, pgx.RowTo[string])
			bed.Assert(err, qt.IsNil)
			bed.Assert(values, qt.DeepEquals, []string{"it's paid", "it's paid"})
			_, err = client.Exec(ctx, "BOOK $1", mode, "x")
			bed.Assert(failure(err).Code, qt.Equals, "42601")
			var token string
			bed.Assert(client.QueryRow(ctx, "SHOW corianderspool.token", mode).Scan(&token), qt.IsNil)
			bed.Assert(token, qt.Equals, "kyushu/1/2")
			bed.Assert(client.PgConn().ParameterStatus("corianderspool.token"), qt.Equals, token)
			bed.Assert(bed.gate.Executors(), qt.Equals, 0)
			bed.Assert(bed.gate.Idle(), qt.Equals, 1)
		})
	}
}

func TestTransactions(t *testing.T) {
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			bed := newBed(t)
			ctx := bed.context()
			client := bed.connect()
			tx, err := client.Begin(ctx)
			bed.Assert(err, qt.IsNil)
			_, err = tx.Exec(ctx, "PUT $1 $2", mode, "seat", "a")
			bed.Assert(err, qt.IsNil)
			bed.Assert(bed.gate.Executors(), qt.Equals, 1)
			bed.Assert(tx.Commit(ctx), qt.IsNil)
			tx, err = client.Begin(ctx)
			bed.Assert(err, qt.IsNil)
			_, err = tx.Exec(ctx, "PUT $1 $2", mode, "seat", "b")
			bed.Assert(failure(err).Code, qt.Equals, "23505")
			bed.Assert(tx.Commit(ctx), qt.ErrorIs, pgx.ErrTxCommitRollback)
			bed.Assert(bed.gate.Executors(), qt.Equals, 0)
			works := bed.gate.Works()
			bed.Assert(works, qt.HasLen, 2)
			bed.Assert(works[0].Read, qt.IsFalse)
			bed.Assert(works[1].Session.Token.Position > 0, qt.IsTrue)
		})
	}
}

func TestBatchAndPipeline(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect()
	batch := &pgx.Batch{}
	for range 20 {
		batch.Queue("APPEND $1 $2", "k", "v")
		batch.Queue("GET $1", "k")
	}
	bed.Assert(client.SendBatch(ctx, batch).Close(), qt.IsNil)

	pipeline := client.PgConn().StartPipeline(ctx)
	pipeline.SendPrepare("mine", "LIST $1", nil)
	pipeline.SendFlushRequest()
	bed.Assert(pipeline.Flush(), qt.IsNil)
	_, err := pipeline.GetResults()
	bed.Assert(err, qt.IsNil)
	pipeline.SendQueryPrepared("mine", [][]byte{[]byte("k")}, nil, nil)
	pipeline.SendQueryPrepared("none", nil, nil, nil)
	bed.Assert(pipeline.Sync(), qt.IsNil)
	_, err = pipeline.GetResults()
	bed.Assert(failure(err).Code, qt.Equals, "26000")
	_, err = pipeline.GetResults()
	bed.Assert(err, qt.IsNil)
	bed.Assert(pipeline.Close(), qt.IsNil)
	bed.Assert(bed.gate.Executors(), qt.Equals, 0)
	_, err = client.Exec(ctx, "PUT a b")
	bed.Assert(err, qt.IsNil)
}

func TestPreparedStatementsAreSharedAndPrivate(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	first, second := bed.connect(), bed.connect()
	_, err := first.Prepare(ctx, "get", "GET $1")
	bed.Assert(err, qt.IsNil)
	_, err = second.Prepare(ctx, "get", "LIST $1")
	bed.Assert(err, qt.IsNil)
	_, err = first.Exec(ctx, "APPEND k 1; APPEND k 2")
	bed.Assert(err, qt.IsNil)
	for range 3 {
		bed.Assert(count(ctx, bed, first), qt.Equals, 1)
		bed.Assert(count(ctx, bed, second), qt.Equals, 2)
	}
	bed.Assert(first.Deallocate(ctx, "get"), qt.IsNil)
	bed.Assert(count(ctx, bed, second), qt.Equals, 2)
	bed.Assert(bed.gate.Idle(), qt.Equals, 1)
}

func count(ctx context.Context, bed *bed, client *pgx.Conn) int {
	rows, err := client.Query(ctx, "get", "k")
	bed.Assert(err, qt.IsNil)
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	bed.Assert(err, qt.IsNil)
	return len(values)
}

func TestReadOnlyTransaction(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect()
	bed.Assert(client.Ping(ctx), qt.IsNil)
	tx, err := client.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	bed.Assert(err, qt.IsNil)
	bed.Assert(tx.Rollback(ctx), qt.IsNil)
	works := bed.gate.Works()
	bed.Assert(works, qt.HasLen, 1)
	bed.Assert(works[0].Read, qt.IsTrue)
}
