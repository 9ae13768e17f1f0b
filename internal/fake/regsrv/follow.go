package regsrv

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

const (
	followRetry   = 20 * time.Millisecond
	followConnect = time.Second
	pullTimeout   = 2 * time.Second
	pullLimit     = 500 // records
)

// commit stamps and applies a transaction.
func (server *Server) commit(record Record) (status, error) {
	record.AtNanos = time.Now().UnixNano()
	return server.store.commit(record)
}

// promote opens a term and stops following.
func (server *Server) promote(term spool.Term) (status, error) {
	status, err := server.store.promote(term)
	if err == nil {
		server.stopFollowing()
	}
	return status, err
}

func (server *Server) stopFollowing() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.following != nil {
		server.following()
		server.following = nil
	}
}

// startFollowing pulls from the primary at an address; the channel closes once its history is adopted.
func (server *Server) startFollowing(term spool.Term, generation uint64, address string) <-chan struct{} {
	server.stopFollowing()
	ctx, cancel := context.WithCancel(server.context)
	server.mutex.Lock()
	server.following = cancel
	server.mutex.Unlock()
	puller := &puller{
		server:     server,
		term:       term,
		generation: generation,
		address:    address,
		adopted:    make(chan struct{}),
	}
	go puller.loop(ctx)
	return puller.adopted
}

// puller replicates from one primary.
type puller struct {
	server     *Server
	term       spool.Term
	generation uint64
	address    string
	adopted    chan struct{}
	done       bool
}

func (puller *puller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = puller.follow(ctx)
		_ = wait(ctx, followRetry)
	}
}

// follow connects, adopts the primary's history and pulls until something fails.
func (puller *puller) follow(ctx context.Context) error {
	connection, err := puller.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(context.Background()) }()
	if err := puller.adopt(ctx, connection); err != nil {
		return err
	}
	for {
		if err := puller.pull(ctx, connection); err != nil {
			return err
		}
	}
}

func (puller *puller) connect(ctx context.Context) (*pgconn.PgConn, error) {
	if puller.server.currentFaults().CutPeers {
		return nil, net.ErrClosed
	}
	config, err := pgconn.ParseConfig("postgres://" + puller.address + "/?sslmode=disable")
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", puller.address)
	}
	config.User = puller.server.user
	config.Password = puller.server.password
	config.RuntimeParams = map[string]string{"application_name": replicaName}
	ctx, cancel := context.WithTimeout(ctx, followConnect)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

func (puller *puller) adopt(ctx context.Context, connection *pgconn.PgConn) error {
	rows, err := query(ctx, connection, "TERMS")
	if err != nil {
		return err
	}
	terms := []TermStart{}
	if err := json.Unmarshal(rows[0][0], &terms); err != nil {
		return err
	}
	end, err := strconv.ParseUint(string(rows[0][1]), 10, 64)
	if err != nil {
		return err
	}
	if len(terms) == 0 || terms[len(terms)-1].Term < puller.term {
		return errNoPrimary
	}
	if !puller.server.store.adopt(terms, spool.Position(end), puller.generation) {
		return context.Canceled
	}
	if !puller.done {
		close(puller.adopted)
		puller.done = true
	}
	return nil
}

// pull fetches records once and applies each when it is old enough.
func (puller *puller) pull(ctx context.Context, connection *pgconn.PgConn) error {
	after := puller.server.store.status().Position
	rows, err := query(ctx, connection, "LOG "+number(after)+" "+strconv.Itoa(pullLimit))
	if err != nil {
		return err
	}
	for _, row := range rows {
		record := Record{}
		if err := json.Unmarshal(row[0], &record); err != nil {
			return err
		}
		if err := puller.delay(ctx, record); err != nil {
			return err
		}
		if !puller.server.store.replicate(record, puller.generation) {
			return eris.Errorf("record %d does not fit the log", record.Position)
		}
	}
	return nil
}

// delay waits until the record is as old as the lag and fails when peers are cut.
func (puller *puller) delay(ctx context.Context, record Record) error {
	for {
		puller.server.thaw()
		faults := puller.server.currentFaults()
		if faults.CutPeers {
			return net.ErrClosed
		}
		remaining := faults.Lag - time.Since(time.Unix(0, record.AtNanos))
		if remaining <= 0 {
			return ctx.Err()
		}
		if err := wait(ctx, min(remaining, followRetry)); err != nil {
			return err
		}
	}
}

// query runs a simple query and returns its rows.
func query(ctx context.Context, connection *pgconn.PgConn, text string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	results, err := connection.Exec(ctx, text).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, eris.Errorf("%d results instead of one", len(results))
	}
	return results[0].Rows, results[0].Err
}
