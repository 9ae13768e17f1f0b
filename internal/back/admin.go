package back

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Admin gives orders to servers, each over one kept connection; it is safe for concurrent use.
type Admin struct {
	credentials Credentials
	dialect     Dialect
	mutex       sync.Mutex
	lines       map[string]*line
}

var _ spool.Admin = (*Admin)(nil)

// line is the kept connection to one address; whoever holds the semaphore uses it.
type line struct {
	semaphore chan struct{}
	client    *pgconn.PgConn
}

// NewAdmin returns an Admin that speaks dialect.
func NewAdmin(dialect Dialect, credentials Credentials) *Admin {
	return &Admin{credentials: credentials, dialect: dialect, lines: map[string]*line{}}
}

// Status asks the server for its term, position and role.
func (admin *Admin) Status(ctx context.Context, server spool.ServerSpec) (spool.ServerStatus, error) {
	rows, err := admin.run(ctx, server, admin.dialect.StatusStatement())
	if err != nil {
		return spool.ServerStatus{}, err
	}
	if len(rows) != 1 {
		return spool.ServerStatus{}, eris.Errorf("status of server %s has %d rows", server.Name, len(rows))
	}
	status, err := admin.dialect.ParseStatus(rows[0])
	status.Server = server.Name
	return status, err
}

// Promote opens a term on the server and returns its status afterwards.
func (admin *Admin) Promote(
	ctx context.Context, server spool.ServerSpec, term spool.Term,
) (spool.ServerStatus, error) {
	if _, err := admin.run(ctx, server, admin.dialect.PromoteStatement(term)); err != nil {
		return spool.ServerStatus{}, err
	}
	return admin.Status(ctx, server)
}

// Follow makes the server a replica of the primary in that term.
func (admin *Admin) Follow(
	ctx context.Context, server spool.ServerSpec, term spool.Term, primary spool.ServerSpec,
) error {
	_, err := admin.run(ctx, server, admin.dialect.FollowStatement(term, primary.Address))
	return err
}

// Close closes all kept connections that are not in use.
func (admin *Admin) Close() {
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	for _, line := range admin.lines {
		select {
		case line.semaphore <- struct{}{}:
			line.hangUp()
			<-line.semaphore
		default:
		}
	}
}

func (admin *Admin) line(address string) *line {
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	kept, found := admin.lines[address]
	if !found {
		kept = &line{semaphore: make(chan struct{}, 1)}
		admin.lines[address] = kept
	}
	return kept
}

func (admin *Admin) run(ctx context.Context, server spool.ServerSpec, text string) ([][]string, error) {
	line := admin.line(server.Address)
	select {
	case line.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "wait for the admin connection to server %s", server.Name)
	}
	defer func() { <-line.semaphore }()
	kept := line.client != nil
	rows, err := line.run(ctx, server, admin.credentials, text)
	if err != nil && kept && line.client == nil && ctx.Err() == nil {
		rows, err = line.run(ctx, server, admin.credentials, text)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "%s on server %s", text, server.Name)
	}
	return rows, nil
}

func (line *line) run(
	ctx context.Context, server spool.ServerSpec, credentials Credentials, text string,
) ([][]string, error) {
	if err := line.dial(ctx, server, credentials); err != nil {
		return nil, err
	}
	return line.query(ctx, text)
}

func (line *line) dial(ctx context.Context, server spool.ServerSpec, credentials Credentials) error {
	if line.client != nil {
		return nil
	}
	config, err := newConfig(server, credentials)
	if err != nil {
		return err
	}
	client, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return eris.Wrapf(err, "connect to server %s", server.Name)
	}
	line.client = client
	return nil
}

func (line *line) query(ctx context.Context, text string) ([][]string, error) {
	results, err := line.client.Exec(ctx, text).ReadAll()
	if line.client.IsClosed() {
		line.client = nil
	}
	if err != nil {
		return nil, err
	}
	var rows [][]string
	for _, result := range results {
		for _, values := range result.Rows {
			rows = append(rows, texts(values))
		}
	}
	return rows, nil
}

// hangUp closes the connection without a farewell, which could block.
func (line *line) hangUp() {
	if line.client == nil {
		return
	}
	_ = line.client.Conn().Close()
	line.client = nil
}

func texts(values [][]byte) []string {
	row := make([]string, len(values))
	for i, value := range values {
		row[i] = string(value)
	}
	return row
}
