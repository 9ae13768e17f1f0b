package node_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

// TestConcurrentTransactionsStayIsolated guards against mixed transactions when more of them run than there are
// connections: the primary's log must show all writes of each committed one, in a transaction of their own.
func TestConcurrentTransactionsStayIsolated(t *testing.T) {
	fleet := newFleet(t, nil)
	const workers, rounds, steps = 24, 15, 3
	var running sync.WaitGroup
	for worker := range workers {
		conn := fleet.mustConnect(worker % 3)
		running.Go(func() {
			for round := range rounds {
				fleet.runTransaction(conn, fmt.Sprintf("t%d-%d", worker, round), steps, round%4 != 3)
			}
		})
	}
	running.Wait()
	tags := map[string]string{}
	counts := map[string]int{}
	for _, applied := range fleet.servers[0].Log() {
		transaction := fmt.Sprint(applied.Transaction)
		tag, known := tags[transaction]
		if known {
			fleet.c.Check(applied.Key, qt.Equals, tag, qt.Commentf("transaction %s", transaction))
		}
		tags[transaction] = applied.Key
		counts[applied.Key]++
	}
	for worker := range workers {
		for round := range rounds {
			expected := steps
			if round%4 == 3 {
				expected = 0
			}
			fleet.c.Check(counts[fmt.Sprintf("t%d-%d", worker, round)], qt.Equals, expected)
		}
	}
}

func (fleet *fleet) runTransaction(conn *pgx.Conn, tag string, steps int, commit bool) {
	ctx := context.Background()
	transaction, err := conn.Begin(ctx)
	fleet.c.Check(err, qt.IsNil)
	if err != nil {
		return
	}
	for step := range steps {
		_, err := transaction.Exec(ctx, "APPEND $1 $2", tag, fmt.Sprint(step))
		fleet.c.Check(err, qt.IsNil)
	}
	if commit {
		fleet.c.Check(transaction.Commit(ctx), qt.IsNil)
		return
	}
	fleet.c.Check(transaction.Rollback(ctx), qt.IsNil)
}

// TestDisconnectRollsBackTransaction guards against committed writes of a caller who disconnects during a transaction,
// and against losing the server connection that it used.
func TestDisconnectRollsBackTransaction(t *testing.T) {
	fleet := newFleet(t, nil)
	ctx := context.Background()
	for i := range 12 {
		conn := fleet.mustConnect(i % 3)
		_, err := conn.Exec(ctx, "BEGIN")
		fleet.c.Assert(err, qt.IsNil)
		_, err = conn.Exec(ctx, "PUT $1 half", fmt.Sprintf("v%d", i))
		fleet.c.Assert(err, qt.IsNil)
		fleet.c.Assert(conn.PgConn().Conn().Close(), qt.IsNil)
	}
	conn := fleet.mustConnect(0)
	for i := range 12 {
		_, err := conn.Exec(ctx, "PUT $1 whole", fmt.Sprintf("v%d", i))
		fleet.c.Assert(err, qt.IsNil)
		value, err := getValue(conn, fmt.Sprintf("v%d", i))
		fleet.c.Assert(err, qt.IsNil)
		fleet.c.Assert(value, qt.Equals, "whole")
	}
}

// TestServersNeverReceiveCallerCredentials searches the servers' records for the callers' key name and secret.
func TestServersNeverReceiveCallerCredentials(t *testing.T) {
	fleet := newFleet(t, nil)
	for i := range fleet.proxies {
		conn := fleet.mustConnect(i)
		_, err := conn.Exec(context.Background(), "PUT $1 value", fmt.Sprintf("k%d", i))
		fleet.c.Assert(err, qt.IsNil)
	}
	for _, server := range fleet.servers {
		activity := server.Activity()
		fleet.c.Assert(len(activity.Logins) > 0, qt.IsTrue)
		for _, login := range activity.Logins {
			fleet.c.Check(login.User, qt.Equals, "spool")
		}
		text := fmt.Sprintf("%+v", activity)
		for _, credential := range []string{keyName, secret} {
			fleet.c.Check(strings.Contains(text, credential), qt.IsFalse, qt.Commentf("%s", credential))
		}
	}
}

// TestRouteRequiresKeyOfItsTeam tries keys of other teams, wrong secrets and unknown keys and routes.
func TestRouteRequiresKeyOfItsTeam(t *testing.T) {
	fleet := newFleet(t, func(manifest *spool.Manifest) {
		other := manifest.Keys[0]
		other.Name, other.Team = "kyushu.other", "kyushu.dispatch"
		manifest.Teams = append(manifest.Teams, spool.TeamSpec{Name: other.Team, RatePerSecond: 10, Burst: 10})
		manifest.Keys = append(manifest.Keys, other)
		open := manifest.Routes[0]
		open.Name, open.Open, open.Teams = "kyushu.open", true, []spool.Team{other.Team}
		manifest.Routes = append(manifest.Routes, open)
	})
	query := func(user, password, route string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		address := fleet.proxies[1].settings.Caller.Address
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, address, route))
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		_, err = conn.Exec(ctx, "GET nothing")
		return err
	}
	fleet.c.Check(query(keyName, secret, routeName), qt.IsNil)
	fleet.c.Check(query("anybody", "none", "kyushu.open"), qt.IsNil)
	fleet.c.Check(query("kyushu.other", secret, routeName), qt.ErrorMatches, `(?s).*28000.*`)
	fleet.c.Check(query(keyName, "wrong", routeName), qt.ErrorMatches, `(?s).*28P01.*`)
	fleet.c.Check(query("kyushu.nobody", secret, routeName), qt.ErrorMatches, `(?s).*28P01.*`)
	fleet.c.Check(query(keyName, secret, "kyushu.nowhere"), qt.ErrorMatches, `(?s).*3D000.*`)
}

// TestAnswersMatchRequestsAfterCancellation guards against late answers of canceled requests that reach later requests.
func TestAnswersMatchRequestsAfterCancellation(t *testing.T) {
	fleet := newFleet(t, nil)
	setup := fleet.mustConnect(0)
	for i := range 50 {
		_, err := setup.Exec(context.Background(), "PUT $1 $2", fmt.Sprintf("a%d", i), fmt.Sprintf("value%d", i))
		fleet.c.Assert(err, qt.IsNil)
	}
	work := spool.Duration(2 * time.Millisecond)
	for _, server := range fleet.servers {
		server.UpdateFaults(regsrv.FaultUpdate{WorkTime: &work})
	}
	var running sync.WaitGroup
	for worker := range 12 {
		running.Go(func() { fleet.queryWithCancellation(worker) })
	}
	running.Wait()
}

func (fleet *fleet) queryWithCancellation(worker int) {
	for round := range 10 {
		conn, err := fleet.connect(worker % 3)
		fleet.c.Check(err, qt.IsNil)
		if err != nil {
			return
		}
		for i := range 4 {
			key := (worker*31 + round*7 + i) % 50
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+key%5)*time.Millisecond)
			if i < 3 {
				cancel()
				ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
			}
			var value string
			err := conn.QueryRow(ctx, "GET $1", fmt.Sprintf("a%d", key)).Scan(&value)
			cancel()
			if err == nil {
				fleet.c.Check(value, qt.Equals, fmt.Sprintf("value%d", key))
			} else {
				fleet.c.Check(i, qt.Equals, 3, qt.Commentf("%v", err))
			}
		}
		_ = conn.Close(context.Background())
	}
}
