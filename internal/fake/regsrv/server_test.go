package regsrv_test

import (
	"context"
	"errors"
	"net/url"
	"testing"
	"time"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const testTimeout = 5 * time.Second

func startServer(c *qt.C, options ...regsrv.Option) *regsrv.Server {
	server := regsrv.New(options...)
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(server.Close)
	return server
}

func connectURL(server *regsrv.Server) string {
	return "postgres://" + url.PathEscape("spool") + ":spool@" + server.Address() + "/renewals?sslmode=prefer"
}

func connect(c *qt.C, server *regsrv.Server) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	connection, err := pgx.Connect(ctx, connectURL(server))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = connection.Close(context.Background()) })
	return connection
}

func sqlState(err error) string {
	var pgError *pgconn.PgError
	if errors.As(err, &pgError) {
		return pgError.Code
	}
	return ""
}

func listValues(c *qt.C, connection *pgx.Conn, key string) []string {
	rows, err := connection.Query(context.Background(), "LIST $1", key)
	c.Assert(err, qt.IsNil)
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	c.Assert(err, qt.IsNil)
	return values
}

func eventually(c *qt.C, condition func() bool) {
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the condition did not come true"))
	}
}

func TestPutAndGetInEveryQueryMode(t *testing.T) {
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			connection := connect(c, startServer(c, regsrv.WithPrimary(1)))
			_, err := connection.Exec(ctx, "put $1 $2", mode, "family 7", "it's paid")
			c.Assert(err, qt.IsNil)
			_, err = connection.Exec(ctx, "PUT $1 $2", mode, "family 7", "again")
			c.Assert(sqlState(err), qt.Equals, "23505")
			var value string
			err = connection.QueryRow(ctx, "GET $1", mode, "family 7").Scan(&value)
			c.Assert(err, qt.IsNil)
			c.Assert(value, qt.Equals, "it's paid")
			err = connection.QueryRow(ctx, "GET $1", mode, "family 8").Scan(&value)
			c.Assert(err, qt.ErrorIs, pgx.ErrNoRows)
			c.Assert(connection.PgConn().ParameterStatus("corianderspool.position"), qt.Equals, "1/1")
			c.Assert(connection.Ping(ctx), qt.IsNil)
		})
	}
}

func TestTransactions(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c, regsrv.WithPrimary(1))
	writer, reader := connect(c, server), connect(c, server)
	_, err := writer.Exec(ctx, "BEGIN; APPEND k a; APPEND k b")
	c.Assert(err, qt.IsNil)
	c.Assert(listValues(c, writer, "k"), qt.DeepEquals, []string{"a", "b"})
	c.Assert(listValues(c, reader, "k"), qt.HasLen, 0)
	_, err = writer.Exec(ctx, "COMMIT")
	c.Assert(err, qt.IsNil)
	c.Assert(listValues(c, reader, "k"), qt.DeepEquals, []string{"a", "b"})
	_, err = writer.Exec(ctx, "BEGIN; APPEND k c; NONSENSE")
	c.Assert(sqlState(err), qt.Equals, "42601")
	_, err = writer.Exec(ctx, "GET k")
	c.Assert(sqlState(err), qt.Equals, "25P02")
	tag, err := writer.Exec(ctx, "COMMIT")
	c.Assert(err, qt.IsNil)
	c.Assert(tag.String(), qt.Equals, "ROLLBACK")
	c.Assert(listValues(c, reader, "k"), qt.DeepEquals, []string{"a", "b"})
	applied := server.Log()
	c.Assert(applied, qt.HasLen, 2)
	c.Assert(applied[0].Position, qt.Equals, applied[1].Position)
	c.Assert(applied[0].Transaction, qt.Equals, applied[1].Transaction)
}

func TestImplicitTransactionIsAtomic(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	connection := connect(c, startServer(c, regsrv.WithPrimary(1)))
	batch := &pgx.Batch{}
	batch.Queue("PUT $1 $2", "a", "1")
	batch.Queue("PUT $1 $2", "a", "2")
	c.Assert(sqlState(connection.SendBatch(ctx, batch).Close()), qt.Equals, "23505")
	c.Assert(listValues(c, connection, "a"), qt.HasLen, 0)
}

func TestClosedConnectionRollsBack(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c, regsrv.WithPrimary(1))
	closed, other := connect(c, server), connect(c, server)
	_, err := closed.Exec(ctx, "BEGIN; PUT k v")
	c.Assert(err, qt.IsNil)
	c.Assert(closed.PgConn().Conn().Close(), qt.IsNil)
	_, err = other.Exec(ctx, "PUT k w")
	c.Assert(err, qt.IsNil)
	c.Assert(listValues(c, other, "k"), qt.DeepEquals, []string{"w"})
}

func TestReplicaLagsAndRefusesWrites(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	primary := startServer(c, regsrv.WithPrimary(1))
	lag := 150 * time.Millisecond
	replica := startServer(c, regsrv.WithReplicaOf(primary.Address()), regsrv.WithLag(lag))
	writer, reader := connect(c, primary), connect(c, replica)
	begin := time.Now()
	_, err := writer.Exec(ctx, "PUT k v")
	c.Assert(err, qt.IsNil)
	eventually(c, func() bool { return len(listValues(c, reader, "k")) == 1 })
	c.Assert(time.Since(begin) >= lag, qt.IsTrue)
	_, err = reader.Exec(ctx, "PUT l v")
	c.Assert(sqlState(err), qt.Equals, "25006")
	c.Assert(replica.Log(), qt.DeepEquals, primary.Log())
}

func status(c *qt.C, connection *pgx.Conn, query string) string {
	var term, position, primary, start string
	err := connection.QueryRow(context.Background(), query).Scan(&term, &position, &primary, &start)
	c.Assert(err, qt.IsNil)
	return term + "/" + position + " " + primary + " " + start
}

func TestFailoverDiscardsUnreplicatedRecords(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	first := startServer(c, regsrv.WithPrimary(1))
	second := startServer(c, regsrv.WithReplicaOf(first.Address()))
	firstConnection, secondConnection := connect(c, first), connect(c, second)
	_, err := firstConnection.Exec(ctx, "APPEND k both")
	c.Assert(err, qt.IsNil)
	eventually(c, func() bool { return len(listValues(c, secondConnection, "k")) == 1 })
	cut := true
	second.UpdateFaults(regsrv.FaultUpdate{CutPeers: &cut})
	_, err = firstConnection.Exec(ctx, "APPEND k lost")
	c.Assert(err, qt.IsNil)
	c.Assert(status(c, secondConnection, "PROMOTE 2"), qt.Equals, "2/1 t 1")
	c.Assert(status(c, secondConnection, "PROMOTE 2"), qt.Equals, "2/1 t 1")
	_, err = secondConnection.Exec(ctx, "PROMOTE 1")
	c.Assert(sqlState(err), qt.Equals, "55000")
	_, err = secondConnection.Exec(ctx, "APPEND k new")
	c.Assert(err, qt.IsNil)
	uncut := false
	second.UpdateFaults(regsrv.FaultUpdate{CutPeers: &uncut})
	_, err = firstConnection.Exec(ctx, "FOLLOW 2 "+second.Address())
	c.Assert(err, qt.IsNil)
	eventually(c, func() bool { return status(c, firstConnection, "POSITION") == "2/2 f 1" })
	c.Assert(listValues(c, firstConnection, "k"), qt.DeepEquals, []string{"both", "new"})
	_, err = firstConnection.Exec(ctx, "FOLLOW 1 "+second.Address())
	c.Assert(sqlState(err), qt.Equals, "55000")
}

func TestSlotsAndConnectionsAreLimited(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c, regsrv.WithPrimary(1), regsrv.WithSlots(2), regsrv.WithConnectionLimit(4))
	done := make(chan error, 4)
	begin := make(chan struct{}) // closed once all are connected, so that the statements overlap however long a login takes
	for range 4 {
		connection := connect(c, server)
		go func() {
			<-begin
			_, err := connection.Exec(ctx, "SLEEP 30")
			done <- err
		}()
	}
	close(begin)
	_, err := pgx.Connect(ctx, connectURL(server))
	c.Assert(sqlState(err), qt.Equals, "53300")
	for range 4 {
		c.Assert(<-done, qt.IsNil)
	}
	activity := server.Activity()
	c.Assert(activity.MaxExecuting, qt.Equals, 2)
	c.Assert(activity.MaxConnections, qt.Equals, 4)
	c.Assert(activity.StatementCount, qt.Equals, 4)
}

func TestCancel(t *testing.T) {
	c := qt.New(t)
	connection := connect(c, startServer(c))
	done := make(chan error, 1)
	go func() {
		_, err := connection.Exec(context.Background(), "SLEEP 4000")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	c.Assert(connection.PgConn().CancelRequest(context.Background()), qt.IsNil)
	c.Assert(sqlState(<-done), qt.Equals, "57014")
	c.Assert(connection.Ping(context.Background()), qt.IsNil)
}

func TestFrozenServerAnswersLate(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	connection := connect(c, server)
	frozen := spool.Duration(100 * time.Millisecond)
	begin := time.Now()
	server.UpdateFaults(regsrv.FaultUpdate{FrozenFor: &frozen})
	_, err := connection.Exec(context.Background(), "PUT k v")
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(begin) >= time.Duration(frozen), qt.IsTrue)
}

func TestLoginsAreCheckedAndRecorded(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for _, options := range [][]regsrv.Option{nil, {regsrv.WithCleartextPassword()}} {
		server := startServer(c, options...)
		connect(c, server)
		_, err := pgx.Connect(ctx, "postgres://spool:wrong@"+server.Address()+"/renewals?sslmode=disable")
		c.Assert(sqlState(err), qt.Equals, "28P01")
		_, err = pgx.Connect(ctx, "postgres://counter:spool@"+server.Address()+"/renewals?sslmode=disable")
		c.Assert(sqlState(err), qt.Equals, "28P01")
		logins := server.Activity().Logins
		c.Assert(logins, qt.HasLen, 3)
		c.Assert(logins[2].User, qt.Equals, "counter")
		c.Assert(logins[2].Parameters["database"], qt.Equals, "renewals")
	}
}

func TestRowsAreStreamed(t *testing.T) {
	c := qt.New(t)
	rows, err := connect(c, startServer(c)).Query(context.Background(), "ROWS 1000 2000")
	c.Assert(err, qt.IsNil)
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.HasLen, 1000)
	c.Assert(values[999], qt.HasLen, 2000)
}
