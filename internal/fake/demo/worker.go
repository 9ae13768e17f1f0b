package demo

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	connectTimeout  = 3 * time.Second
	requestTimeout  = 8 * time.Second
	pace            = 4 * time.Millisecond
	refusalPause    = 50 * time.Millisecond
	requestsPerStay = 25 // on one proxy, before the session roams
	writeShare      = 0.1
	ownWrites       = 50 // acknowledged writes that a session goes on reading
	tokenParameter  = "corianderspool.token"
)

// Worker is one session that roams between proxies.
type Worker struct {
	WriteShare float64 // part of the requests that write
	id         int
	key        Key
	addresses  []string
	ledger     *Ledger
	random     *rand.Rand
	connection *pgx.Conn
	token      string
	own        []Write
	written    int
	next       int
	stay       int
}

// NewWorker returns a worker that writes under keys that contain its number.
func NewWorker(id int, key Key, addresses []string, ledger *Ledger) *Worker {
	return &Worker{
		WriteShare: writeShare,
		id:         id,
		key:        key,
		addresses:  addresses,
		ledger:     ledger,
		random:     rand.New(rand.NewPCG(uint64(id), 1)),
		next:       id,
	}
}

// Run sends requests until the context ends; the request in flight is finished.
func (worker *Worker) Run(ctx context.Context) {
	defer worker.hangUp()
	for ctx.Err() == nil {
		if !worker.connected(ctx) {
			pause(ctx, refusalPause)
			continue
		}
		if !worker.step() {
			pause(ctx, refusalPause)
		}
		pause(ctx, pace)
	}
}

// connected makes sure of a connection, to another proxy after each stay.
func (worker *Worker) connected(ctx context.Context) bool {
	worker.stay++
	if worker.stay > requestsPerStay {
		worker.hangUp()
	}
	if worker.connection != nil {
		return true
	}
	worker.stay = 0
	worker.next++
	address := worker.addresses[worker.next%len(worker.addresses)]
	connection, err := Connect(ctx, Target{Address: address, Key: worker.key, Token: worker.token})
	if err != nil {
		return false
	}
	worker.connection = connection
	return true
}

// Target is where a session connects to and as whom; without a route it asks for the demo's.
type Target struct {
	Address string
	Route   string
	Key     Key
	Token   string
}

// Connect opens a session with a stock client.
func Connect(ctx context.Context, target Target) (*pgx.Conn, error) {
	location := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(target.Key.Name, target.Key.Secret),
		Host:     target.Address,
		Path:     cmp.Or(target.Route, route),
		RawQuery: "sslmode=prefer",
	}
	config, err := pgx.ParseConfig(location.String())
	if err != nil {
		return nil, err
	}
	if target.Token != "" {
		config.RuntimeParams[tokenParameter] = target.Token
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// step sends one request and reports if it was answered.
func (worker *Worker) step() bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var err error
	if len(worker.own) == 0 || worker.random.Float64() < worker.WriteShare {
		err = worker.write(ctx)
	} else {
		err = worker.read(ctx)
	}
	if token := worker.connection.PgConn().ParameterStatus(tokenParameter); token != "" {
		worker.token = token
	}
	if lostWrite(err) {
		worker.forget()
		return false
	}
	if worker.connection.IsClosed() {
		worker.connection = nil
	}
	return err == nil
}

// write writes under a key that nothing else uses and keeps what the caller was told.
func (worker *Worker) write(ctx context.Context) error {
	worker.written++
	number := worker.written
	write := Write{
		Key:    fmt.Sprintf("family-%d-%d", worker.id, number),
		Values: []string{fmt.Sprintf("renewal-%d-%d", worker.id, number)},
	}
	begun := time.Now()
	var err error
	switch worker.random.IntN(3) {
	case 0:
		_, err = worker.connection.Exec(ctx, "PUT $1 $2", write.Key, write.Values[0])
	case 1:
		_, err = worker.connection.Exec(ctx, "APPEND $1 $2", write.Key, write.Values[0])
	default:
		write.Values = append(write.Values, write.Values[0]+"-second")
		err = worker.transaction(ctx, write)
	}
	if worker.ledger.Write(write, begun, err) == Answered {
		worker.own = append(worker.own, write)
		worker.own = worker.own[max(0, len(worker.own)-ownWrites):]
	}
	return err
}

func (worker *Worker) transaction(ctx context.Context, write Write) error {
	return pgx.BeginFunc(ctx, worker.connection, func(tx pgx.Tx) error {
		for _, value := range write.Values {
			if _, err := tx.Exec(ctx, "APPEND $1 $2", write.Key, value); err != nil {
				return err
			}
		}
		return nil
	})
}

// read reads one of the session's own writes, half the time the latest.
func (worker *Worker) read(ctx context.Context) error {
	write := worker.own[len(worker.own)-1]
	if worker.random.IntN(2) == 0 {
		write = worker.own[worker.random.IntN(len(worker.own))]
	}
	begun := time.Now()
	rows, err := worker.connection.Query(ctx, "LIST $1", write.Key)
	if err == nil {
		var values []string
		values, err = pgx.CollectRows(rows, pgx.RowTo[string])
		if err == nil {
			worker.ledger.read(write, values)
		}
	}
	worker.ledger.request(begun, err)
	return err
}

// forget drops the token of a session that was told of a lost write.
func (worker *Worker) forget() {
	worker.token = ""
	worker.hangUp()
	for i := range worker.own {
		worker.own[i].Told = true
	}
}

func (worker *Worker) hangUp() {
	if worker.connection == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = worker.connection.Close(ctx)
	worker.connection = nil
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
