package node_test

import (
	"context"
	"database/sql"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/stdlib" // registers the driver for database/sql
)

// TestDatabaseSQL checks prepared statements and transactions through database/sql.
func TestDatabaseSQL(t *testing.T) {
	fleet := newFleet(t, nil)
	ctx := context.Background()
	address := fleet.proxies[1].settings.Caller.Address
	database, err := sql.Open("pgx", fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", keyName, secret, address, routeName))
	fleet.c.Assert(err, qt.IsNil)
	defer func() { _ = database.Close() }()
	statement, err := database.PrepareContext(ctx, "PUT $1 $2")
	fleet.c.Assert(err, qt.IsNil)
	for i := range 5 {
		_, err = statement.ExecContext(ctx, fmt.Sprintf("key%d", i), fmt.Sprintf("value%d", i))
		fleet.c.Assert(err, qt.IsNil)
	}
	transaction, err := database.BeginTx(ctx, nil)
	fleet.c.Assert(err, qt.IsNil)
	_, err = transaction.ExecContext(ctx, "PUT undone value")
	fleet.c.Assert(err, qt.IsNil)
	fleet.c.Assert(transaction.Rollback(), qt.IsNil)
	var value string
	fleet.c.Assert(database.QueryRowContext(ctx, "GET $1", "key3").Scan(&value), qt.IsNil)
	fleet.c.Assert(value, qt.Equals, "value3")
	err = database.QueryRowContext(ctx, "GET undone").Scan(&value)
	fleet.c.Assert(err, qt.Equals, sql.ErrNoRows)
}

// TestBatchesAndPipelines guards against mixed-up answers when several statements are sent before the first answer.
func TestBatchesAndPipelines(t *testing.T) {
	fleet := newFleet(t, nil)
	ctx := context.Background()
	for proxy := range fleet.proxies {
		conn := fleet.mustConnect(proxy)
		batch := &pgx.Batch{}
		for i := range 10 {
			batch.Queue("APPEND $1 $2", fmt.Sprintf("list%d", proxy), fmt.Sprint(i))
		}
		batch.Queue("LIST $1", fmt.Sprintf("list%d", proxy)).Query(func(rows pgx.Rows) error {
			values, err := pgx.CollectRows(rows, pgx.RowTo[string])
			fleet.c.Check(values, qt.DeepEquals, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"})
			return err
		})
		fleet.c.Assert(conn.SendBatch(ctx, batch).Close(), qt.IsNil)
	}
}
