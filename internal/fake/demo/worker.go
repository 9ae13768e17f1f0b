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
	connectTimeout        = 3 * time.Second
	requestTimeout        = 8 * time.Second
	requestInterval       = 4 * time.Millisecond
	retryDelay            = 50 * time.Millisecond
	requestsPerConnection = 25 // before the session reconnects to the next proxy
	defaultWriteShare     = 0.1
	maxOwnWrites          = 50 // latest acknowledged writes that a session reads back
	tokenParameter        = "corianderspool.token"
)

// Worker runs one session that moves between proxies, writes and reads back its own writes.
type Worker struct {
	WriteShare           float64 // fraction of the requests that write
	id                   int
	key                  Key
	addresses            []string
	history              *History
	random               *rand.Rand
	connection           *pgx.Conn
	token                string
	ownWrites            []Write
	writeCount           int
	nextAddress          int
	requestsOnConnection int
}

// NewWorker returns a worker whose keys contain its id, so that no two workers write the same key.
func NewWorker(id int, key Key, addresses []string, history *History) *Worker {
	return &Worker{
		WriteShare:  defaultWriteShare,
		id:          id,
		key:         key,
		addresses:   addresses,
		history:     history,
		random:      rand.New(rand.NewPCG(uint64(id), 1)),
		nextAddress: id,
	}
}

// Run sends requests until the context ends; a request in flight is completed.
func (worker *Worker) Run(ctx context.Context) {
	defer worker.closeConnection()
	for ctx.Err() == nil {
		if !worker.ensureConnected(ctx) {
			sleep(ctx, retryDelay)
			continue
		}
		if !worker.sendRequest() {
			sleep(ctx, retryDelay)
		}
		sleep(ctx, requestInterval)
	}
}

// ensureConnected connects if necessary, to the next proxy after requestsPerConnection, and reports success.
func (worker *Worker) ensureConnected(ctx context.Context) bool {
	worker.requestsOnConnection++
	if worker.requestsOnConnection > requestsPerConnection {
		worker.closeConnection()
	}
	if worker.connection != nil {
		return true
	}
	worker.requestsOnConnection = 0
	worker.nextAddress++
	address := worker.addresses[worker.nextAddress%len(worker.addresses)]
	connection, err := Connect(ctx, Target{Address: address, Key: worker.key, Token: worker.token})
	if err != nil {
		return false
	}
	worker.connection = connection
	return true
}

// Target is the address, route and credentials of a session; an empty route means the demo's route.
type Target struct {
	Address string
	Route   string
	Key     Key
	Token   string
}

// Connect opens a session with an unmodified PostgreSQL client.
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

// sendRequest sends one read or write and reports whether it succeeded.
func (worker *Worker) sendRequest() bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var err error
	if len(worker.ownWrites) == 0 || worker.random.Float64() < worker.WriteShare {
		err = worker.write(ctx)
	} else {
		err = worker.read(ctx)
	}
	if token := worker.connection.PgConn().ParameterStatus(tokenParameter); token != "" {
		worker.token = token
	}
	if isLostWrite(err) {
		worker.resetAfterLoss()
		return false
	}
	if worker.connection.IsClosed() {
		worker.connection = nil
	}
	return err == nil
}

// write writes under a key of its own and records the outcome.
func (worker *Worker) write(ctx context.Context) error {
	worker.writeCount++
	number := worker.writeCount
	write := Write{
		Key:    fmt.Sprintf("family-%d-%d", worker.id, number),
		Values: []string{fmt.Sprintf("renewal-%d-%d", worker.id, number)},
	}
	start := time.Now()
	var err error
	switch worker.random.IntN(3) {
	case 0:
		_, err = worker.connection.Exec(ctx, "PUT $1 $2", write.Key, write.Values[0])
	case 1:
		_, err = worker.connection.Exec(ctx, "APPEND $1 $2", write.Key, write.Values[0])
	default:
		write.Values = append(write.Values, write.Values[0]+"-second")
		err = worker.writeInTransaction(ctx, write)
	}
	if worker.history.RecordWrite(write, start, err) == OutcomeAnswered {
		worker.ownWrites = append(worker.ownWrites, write)
		worker.ownWrites = worker.ownWrites[max(0, len(worker.ownWrites)-maxOwnWrites):]
	}
	return err
}

func (worker *Worker) writeInTransaction(ctx context.Context, write Write) error {
	return pgx.BeginFunc(ctx, worker.connection, func(tx pgx.Tx) error {
		for _, value := range write.Values {
			if _, err := tx.Exec(ctx, "APPEND $1 $2", write.Key, value); err != nil {
				return err
			}
		}
		return nil
	})
}

// read reads back one of the session's own writes: with probability 1/2 the latest, else a random one.
func (worker *Worker) read(ctx context.Context) error {
	write := worker.ownWrites[len(worker.ownWrites)-1]
	if worker.random.IntN(2) == 0 {
		write = worker.ownWrites[worker.random.IntN(len(worker.ownWrites))]
	}
	start := time.Now()
	rows, err := worker.connection.Query(ctx, "LIST $1", write.Key)
	if err == nil {
		var values []string
		values, err = pgx.CollectRows(rows, pgx.RowTo[string])
		if err == nil {
			worker.history.checkRead(write, values)
		}
	}
	worker.history.recordRequest(start, err)
	return err
}

// resetAfterLoss closes the session after a reported lost write, so that the next one starts without a token, and marks
// the own writes: a read that lacks one of them is stale only if that write was not lost.
func (worker *Worker) resetAfterLoss() {
	worker.token = ""
	worker.closeConnection()
	for i := range worker.ownWrites {
		worker.ownWrites[i].LossReported = true
	}
}

func (worker *Worker) closeConnection() {
	if worker.connection == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = worker.connection.Close(ctx)
	worker.connection = nil
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
