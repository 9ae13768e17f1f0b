package regsrv_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
)

func execute(c *qt.C, connection *pgx.Conn, statements ...string) {
	for _, statement := range statements {
		_, err := connection.Exec(context.Background(), statement)
		c.Assert(err, qt.IsNil)
	}
}

func cutPeers(server *regsrv.Server, cut bool) {
	server.UpdateFaults(regsrv.FaultUpdate{CutPeers: &cut})
}

func TestServerThatMissedATermDiscardsDivergentRecords(t *testing.T) {
	c := qt.New(t)
	servers := []*regsrv.Server{startServer(c, regsrv.WithPrimary(1))}
	for range 2 {
		servers = append(servers, startServer(c, regsrv.WithReplicaOf(servers[0].Address())))
	}
	first, second, third := connect(c, servers[0]), connect(c, servers[1]), connect(c, servers[2])
	execute(c, first, "APPEND k 1", "APPEND k 2")
	eventually(c, func() bool { return len(listValues(c, second, "k")) == 2 && len(listValues(c, third, "k")) == 2 })
	cutPeers(servers[0], true)
	execute(c, first, "APPEND k lost3", "APPEND k lost4", "APPEND k lost5", "APPEND k lost6")
	execute(c, second, "PROMOTE 2", "APPEND k 3")
	execute(c, third, "FOLLOW 2 "+servers[1].Address())
	eventually(c, func() bool { return len(listValues(c, third, "k")) == 3 })
	servers[1].Close()
	execute(c, third, "PROMOTE 3", "APPEND k 4", "APPEND k 5")
	cutPeers(servers[0], false)
	execute(c, first, "FOLLOW 3 "+servers[2].Address())
	eventually(c, func() bool { return status(c, first, "POSITION") == "3/5 f 3" })
	c.Assert(servers[0].Log(), qt.DeepEquals, servers[2].Log())
	c.Assert(listValues(c, first, "k"), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
}

func TestDemotedPrimaryRefusesTheCommitOfAnOpenTransaction(t *testing.T) {
	c := qt.New(t)
	demoted, successor := startServer(c, regsrv.WithPrimary(1)), startServer(c, regsrv.WithPrimary(2))
	writer, admin := connect(c, demoted), connect(c, demoted)
	execute(c, writer, "BEGIN", "PUT k v")
	execute(c, admin, "FOLLOW 2 "+successor.Address())
	_, err := writer.Exec(context.Background(), "COMMIT")
	c.Assert(sqlState(err), qt.Equals, "25006")
	c.Assert(listValues(c, writer, "k"), qt.HasLen, 0)
}

func TestFollowOfAnUnreachablePrimaryDemotesAndFails(t *testing.T) {
	c := qt.New(t)
	old, unreachable := startServer(c, regsrv.WithPrimary(1)), startServer(c)
	unreachable.Close()
	connection := connect(c, old)
	_, err := connection.Exec(context.Background(), "FOLLOW 2 "+unreachable.Address())
	c.Assert(sqlState(err), qt.Equals, "57P03")
	c.Assert(status(c, connection, "POSITION"), qt.Equals, "1/0 f 0")
	_, err = connection.Exec(context.Background(), "PROMOTE 1")
	c.Assert(sqlState(err), qt.Equals, "55000")
}

func TestConcurrentPutsOfAKeySucceedOnce(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	succeeded := atomic.Int32{}
	group := sync.WaitGroup{}
	for i := range 10 {
		connection := connect(c, server)
		group.Go(func() {
			_, err := connection.Exec(context.Background(), "PUT $1 $2", "seat", fmt.Sprint(i))
			if err == nil {
				succeeded.Add(1)
			}
		})
	}
	group.Wait()
	c.Assert(succeeded.Load(), qt.Equals, int32(1))
	c.Assert(server.Log(), qt.HasLen, 1)
}

func TestRestartedReplicaCatchesUp(t *testing.T) {
	c := qt.New(t)
	primary := startServer(c, regsrv.WithPrimary(1))
	writer := connect(c, primary)
	execute(c, writer, "APPEND k 1", "APPEND k 2")
	replica := startServer(c)
	execute(c, connect(c, replica), "FOLLOW 1 "+primary.Address())
	eventually(c, func() bool { return len(replica.Log()) == 2 })
	replica.Close()
	restarted := startServer(c, regsrv.WithAddress(replica.Address()))
	execute(c, connect(c, restarted), "FOLLOW 1 "+primary.Address())
	eventually(c, func() bool { return len(restarted.Log()) == 2 })
}

func TestCutClientsAreDisconnected(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	connection := connect(c, server)
	cut, uncut := true, false
	server.UpdateFaults(regsrv.FaultUpdate{CutClients: &cut})
	_, err := connection.Exec(context.Background(), "GET k")
	c.Assert(err, qt.IsNotNil)
	_, err = pgx.Connect(context.Background(), connectURL(server))
	c.Assert(err, qt.IsNotNil)
	server.UpdateFaults(regsrv.FaultUpdate{CutClients: &uncut})
	connect(c, server)
}

func TestConnectDelay(t *testing.T) {
	c := qt.New(t)
	delay := 50 * time.Millisecond
	server := startServer(c, regsrv.WithConnectDelay(delay))
	begin := time.Now()
	connect(c, server)
	c.Assert(time.Since(begin) >= delay, qt.IsTrue)
	slower := spool.Duration(2 * delay)
	server.UpdateFaults(regsrv.FaultUpdate{ConnectDelay: &slower})
	begin = time.Now()
	connect(c, server)
	c.Assert(time.Since(begin) >= 2*delay, qt.IsTrue)
}
