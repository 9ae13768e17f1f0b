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

// access is a read of a session's list, or an append to it.
type access struct {
	session int
	value   string // appended; empty for a read
}

// listModel is a list that one session appends to; a read must see all of it, and what has an unknown outcome or not.
var listModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, operation := range history {
			session := operation.Input.(access).session
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
		if value := input.(access).value; value != "" {
			return true, state.(string) + value
		}
		return state == output, state
	},
}

// roamer is a session that changes the proxy and keeps its token, or drops it.
type roamer struct {
	fleet   *fleet
	number  int
	random  *rand.Rand
	token   string
	history []porcupine.Operation
}

func (roamer *roamer) run(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		parameters := []string{}
		if roamer.token != "" && roamer.number%2 == 0 {
			parameters = []string{"corianderspool.token", roamer.token}
		}
		conn, err := roamer.fleet.connect(roamer.random.IntN(3), parameters...)
		if err != nil {
			continue
		}
		for range 1 + roamer.random.IntN(4) {
			if roamer.random.IntN(3) == 0 {
				err = roamer.write(conn, i)
			} else {
				err = roamer.read(conn)
			}
			i++
			if err != nil {
				break
			}
		}
		roamer.token = conn.PgConn().ParameterStatus("corianderspool.token")
		_ = conn.Close(context.Background())
	}
}

func (roamer *roamer) key() string { return "session" + strconv.Itoa(roamer.number) }

func (roamer *roamer) write(conn *pgx.Conn, i int) error {
	value := fmt.Sprintf("[%d]", i)
	call := time.Now().UnixNano()
	_, err := conn.Exec(context.Background(), "APPEND $1 $2", roamer.key(), value)
	ended := time.Now().UnixNano()
	var answer *pgconn.PgError
	if errors.As(err, &answer) && answer.Detail == "The statement was not run." {
		return err
	}
	if err != nil {
		ended = math.MaxInt64
	}
	roamer.record(access{session: roamer.number, value: value}, nil, call, ended)
	return err
}

func (roamer *roamer) read(conn *pgx.Conn) error {
	call := time.Now().UnixNano()
	rows, err := conn.Query(context.Background(), "LIST $1", roamer.key())
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
	roamer.record(access{session: roamer.number}, list, call, time.Now().UnixNano())
	return nil
}

func (roamer *roamer) record(input access, output any, call, ended int64) {
	roamer.history = append(roamer.history, porcupine.Operation{
		ClientId: len(roamer.history), Input: input, Output: output, Call: call, Return: ended,
	})
}

// TestSessionsReadTheirWrites lets sessions roam with and without a token through the death of primary and leader.
func TestSessionsReadTheirWrites(t *testing.T) {
	fleet := newFleet(t, func(manifest *spool.Manifest) {
		durable(manifest)
		manifest.Routes[0].Timeout = spool.Duration(3 * time.Second)
	})
	stop := make(chan struct{})
	roamers := make([]*roamer, 8)
	var running sync.WaitGroup
	for i := range roamers {
		roamers[i] = &roamer{fleet: fleet, number: i, random: rand.New(rand.NewPCG(uint64(i), 3))}
		running.Go(func() { roamers[i].run(stop) })
	}
	time.Sleep(time.Second)
	fleet.servers[0].Close()
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	history := []porcupine.Operation{}
	for _, roamer := range roamers {
		history = append(history, roamer.history...)
	}
	result := porcupine.CheckOperationsTimeout(listModel, history, 20*time.Second)
	fleet.c.Logf("%d operations, replica reads %d and %d", len(history),
		fleet.servers[1].Activity().ReplicaReads, fleet.servers[2].Activity().ReplicaReads)
	fleet.c.Assert(result, qt.Equals, porcupine.Ok)
}
