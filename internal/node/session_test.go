package node_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"corianderspool.example/spool/pkg/spool"
)

// listOperation is a read of a session's list or an append to it.
type listOperation struct {
	session int
	value   string // appended; empty for a read
}

// listModel models a list per session: a read must return all appended values; those of unknown outcome may be missing.
var listModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, operation := range history {
			session := operation.Input.(listOperation).session
			parts[session] = append(parts[session], operation)
		}
		lists := [][]porcupine.Operation{}
		for _, part := range parts {
			lists = append(lists, part)
		}
		return lists
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if value := input.(listOperation).value; value != "" {
			return true, state.(string) + value
		}
		return state == output, state
	},
}

// roamingSession is a session that moves between proxies, with its token or without.
type roamingSession struct {
	fleet   *fleet
	number  int
	random  *rand.Rand
	token   string
	history []porcupine.Operation
}

func (roamingSession *roamingSession) run(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		parameters := []string{}
		if roamingSession.token != "" && roamingSession.number%2 == 0 {
			parameters = []string{"corianderspool.token", roamingSession.token}
		}
		conn, err := roamingSession.fleet.connect(roamingSession.random.IntN(3), parameters...)
		if err != nil {
			continue
		}
		for range 1 + roamingSession.random.IntN(4) {
			if roamingSession.random.IntN(3) == 0 {
				err = roamingSession.write(conn, i)
			} else {
				err = roamingSession.read(conn)
			}
			i++
			if err != nil {
				break
			}
		}
		roamingSession.token = conn.PgConn().ParameterStatus("corianderspool.token")
		_ = conn.Close(context.Background())
	}
}

func (roamingSession *roamingSession) key() string {
	return "session" + strconv.Itoa(roamingSession.number)
}

func (roamingSession *roamingSession) write(conn *pgx.Conn, i int) error {
	value := fmt.Sprintf("[%d]", i)
	call := time.Now().UnixNano()
	_, err := conn.Exec(context.Background(), "APPEND $1 $2", roamingSession.key(), value)
	ended := time.Now().UnixNano()
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Detail == "The statement was not run." {
		return err
	}
	if err != nil {
		ended = math.MaxInt64
	}
	roamingSession.record(listOperation{session: roamingSession.number, value: value}, nil, call, ended)
	return err
}

func (roamingSession *roamingSession) read(conn *pgx.Conn) error {
	call := time.Now().UnixNano()
	rows, err := conn.Query(context.Background(), "LIST $1", roamingSession.key())
	if err != nil {
		return err
	}
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return err
	}
	list := ""
	for _, value := range values {
		list += value
	}
	roamingSession.record(listOperation{session: roamingSession.number}, list, call, time.Now().UnixNano())
	return nil
}

func (roamingSession *roamingSession) record(input listOperation, output any, call, ended int64) {
	roamingSession.history = append(roamingSession.history, porcupine.Operation{
		ClientId: len(roamingSession.history), Input: input, Output: output, Call: call, Return: ended,
	})
}

// TestSessionsReadTheirOwnWrites guards against stale reads: sessions move between proxies with and without a token
// while the primary fails.
func TestSessionsReadTheirOwnWrites(t *testing.T) {
	fleet := newFleet(t, func(manifest *spool.Manifest) {
		makeDurable(manifest)
		manifest.Routes[0].Timeout = spool.Duration(3 * time.Second)
	})
	stop := make(chan struct{})
	roamingSessions := make([]*roamingSession, 8)
	var running sync.WaitGroup
	for i := range roamingSessions {
		roamingSessions[i] = &roamingSession{fleet: fleet, number: i, random: rand.New(rand.NewPCG(uint64(i), 3))}
		running.Go(func() { roamingSessions[i].run(stop) })
	}
	time.Sleep(time.Second)
	fleet.servers[0].Close()
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	history := []porcupine.Operation{}
	for _, roamingSession := range roamingSessions {
		history = append(history, roamingSession.history...)
	}
	result := porcupine.CheckOperationsTimeout(listModel, history, 20*time.Second)
	fleet.c.Logf("%d operations, replica reads %d and %d", len(history),
		fleet.servers[1].Activity().ReplicaReads, fleet.servers[2].Activity().ReplicaReads)
	fleet.c.Assert(result, qt.Equals, porcupine.Ok)
}
