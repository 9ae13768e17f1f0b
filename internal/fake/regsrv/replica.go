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
	retryInterval    = 20 * time.Millisecond
	connectTimeout   = time.Second
	queryTimeout     = 2 * time.Second
	maxPulledRecords = 500 // per query
)

// commit sets the commit time of a transaction and applies it.
func (server *Server) commit(record Record) (status, error) {
	record.AtNanos = time.Now().UnixNano()
	return server.store.commit(record)
}

// promote makes the server primary of a term and stops replication from the previous primary.
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
	if server.stopReplication != nil {
		server.stopReplication()
		server.stopReplication = nil
	}
}

// startFollowing replicates from the primary at an address; the channel is closed once the primary's term history is
// adopted.
func (server *Server) startFollowing(term spool.Term, generation uint64, address string) <-chan struct{} {
	server.stopFollowing()
	ctx, cancel := context.WithCancel(server.context)
	server.mutex.Lock()
	server.stopReplication = cancel
	server.mutex.Unlock()
	replicator := &replicator{
		server:     server,
		term:       term,
		generation: generation,
		address:    address,
		adopted:    make(chan struct{}),
	}
	go replicator.run(ctx)
	return replicator.adopted
}

// replicator pulls records from one primary.
type replicator struct {
	server         *Server
	term           spool.Term
	generation     uint64
	address        string
	adopted        chan struct{} // closed once the term history is adopted
	historyAdopted bool          // adopted is closed
}

func (replicator *replicator) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = replicator.replicate(ctx)
		_ = wait(ctx, retryInterval)
	}
}

// replicate connects, adopts the primary's term history and pulls records until an error occurs.
func (replicator *replicator) replicate(ctx context.Context) error {
	connection, err := replicator.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(context.Background()) }()
	if err := replicator.adoptHistory(ctx, connection); err != nil {
		return err
	}
	for {
		if err := replicator.pullRecords(ctx, connection); err != nil {
			return err
		}
	}
}

func (replicator *replicator) connect(ctx context.Context) (*pgconn.PgConn, error) {
	if replicator.server.currentFaults().CutPeers {
		return nil, net.ErrClosed
	}
	config, err := pgconn.ParseConfig("postgres://" + replicator.address + "/?sslmode=disable")
	if err != nil {
		return nil, eris.Wrapf(err, "parsing address %q of the primary", replicator.address)
	}
	config.User = replicator.server.user
	config.Password = replicator.server.password
	config.RuntimeParams = map[string]string{"application_name": replicaApplicationName}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

func (replicator *replicator) adoptHistory(ctx context.Context, connection *pgconn.PgConn) error {
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
	if len(terms) == 0 || terms[len(terms)-1].Term < replicator.term {
		return errNotPrimary
	}
	if !replicator.server.store.adoptHistory(terms, spool.Position(end), replicator.generation) {
		return context.Canceled
	}
	if !replicator.historyAdopted {
		close(replicator.adopted)
		replicator.historyAdopted = true
	}
	return nil
}

// pullRecords fetches one batch of records and applies each one after the configured lag.
func (replicator *replicator) pullRecords(ctx context.Context, connection *pgconn.PgConn) error {
	after := replicator.server.store.status().Position
	rows, err := query(ctx, connection, "LOG "+formatNumber(after)+" "+strconv.Itoa(maxPulledRecords))
	if err != nil {
		return err
	}
	for _, row := range rows {
		record := Record{}
		if err := json.Unmarshal(row[0], &record); err != nil {
			return err
		}
		if err := replicator.awaitLag(ctx, record); err != nil {
			return err
		}
		if !replicator.server.store.replicate(record, replicator.generation) {
			return eris.Errorf("record %d does not follow the end of the log", record.Position)
		}
	}
	return nil
}

// awaitLag waits until the record is as old as the configured lag; it fails while peers are cut.
func (replicator *replicator) awaitLag(ctx context.Context, record Record) error {
	for {
		replicator.server.waitWhileFrozen()
		faults := replicator.server.currentFaults()
		if faults.CutPeers {
			return net.ErrClosed
		}
		remaining := faults.Lag - time.Since(time.Unix(0, record.AtNanos))
		if remaining <= 0 {
			return ctx.Err()
		}
		if err := wait(ctx, min(remaining, retryInterval)); err != nil {
			return err
		}
	}
}

// query executes a simple query and returns the rows of its only result.
func query(ctx context.Context, connection *pgconn.PgConn, text string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	results, err := connection.Exec(ctx, text).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, eris.Errorf("query returned %d results instead of 1", len(results))
	}
	return results[0].Rows, results[0].Err
}
