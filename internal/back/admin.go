package back

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Admin queries and changes the roles of servers over one persistent connection each; it is safe for concurrent use.
type Admin struct {
	credentials Credentials
	dialect     Dialect
	mutex       sync.Mutex
	connections map[string]*adminConn
}

var _ spool.Admin = (*Admin)(nil)

// adminConn is the persistent connection to one address; only the holder of the semaphore may use it.
type adminConn struct {
	semaphore chan struct{}
	client    *pgconn.PgConn
}

// NewAdmin returns an Admin that issues the statements of dialect.
func NewAdmin(dialect Dialect, credentials Credentials) *Admin {
	return &Admin{credentials: credentials, dialect: dialect, connections: map[string]*adminConn{}}
}

// Status queries the term, position and role of a server.
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

// Promote makes the server the primary of a new term and returns its status afterwards.
func (admin *Admin) Promote(
	ctx context.Context, server spool.ServerSpec, term spool.Term,
) (spool.ServerStatus, error) {
	if _, err := admin.run(ctx, server, admin.dialect.PromoteStatement(term)); err != nil {
		return spool.ServerStatus{}, err
	}
	return admin.Status(ctx, server)
}

// Follow makes the server a replica of the primary of the given term.
func (admin *Admin) Follow(
	ctx context.Context, server spool.ServerSpec, term spool.Term, primary spool.ServerSpec,
) error {
	_, err := admin.run(ctx, server, admin.dialect.FollowStatement(term, primary.Address))
	return err
}

// Close closes all connections that are not in use.
func (admin *Admin) Close() {
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	for _, conn := range admin.connections {
		select {
		case conn.semaphore <- struct{}{}:
			conn.closeSocket()
			<-conn.semaphore
		default:
		}
	}
}

func (admin *Admin) connection(address string) *adminConn {
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	conn, found := admin.connections[address]
	if !found {
		conn = &adminConn{semaphore: make(chan struct{}, 1)}
		admin.connections[address] = conn
	}
	return conn
}

// run executes a statement, and repeats it once on a new connection if a reused one turns out to be closed.
func (admin *Admin) run(ctx context.Context, server spool.ServerSpec, text string) ([][]string, error) {
	conn := admin.connection(server.Address)
	select {
	case conn.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "wait for the admin connection to server %s", server.Name)
	}
	defer func() { <-conn.semaphore }()
	reused := conn.client != nil
	rows, err := conn.run(ctx, server, admin.credentials, text)
	if err != nil && reused && conn.client == nil && ctx.Err() == nil {
		rows, err = conn.run(ctx, server, admin.credentials, text)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "%s on server %s", text, server.Name)
	}
	return rows, nil
}

func (conn *adminConn) run(
	ctx context.Context, server spool.ServerSpec, credentials Credentials, text string,
) ([][]string, error) {
	if err := conn.dial(ctx, server, credentials); err != nil {
		return nil, err
	}
	return conn.query(ctx, text)
}

func (conn *adminConn) dial(ctx context.Context, server spool.ServerSpec, credentials Credentials) error {
	if conn.client != nil {
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
	conn.client = client
	return nil
}

func (conn *adminConn) query(ctx context.Context, text string) ([][]string, error) {
	results, err := conn.client.Exec(ctx, text).ReadAll()
	if conn.client.IsClosed() {
		conn.client = nil
	}
	if err != nil {
		return nil, err
	}
	var rows [][]string
	for _, result := range results {
		for _, values := range result.Rows {
			rows = append(rows, textRow(values))
		}
	}
	return rows, nil
}

// closeSocket closes the connection without sending Terminate, which could block.
func (conn *adminConn) closeSocket() {
	if conn.client == nil {
		return
	}
	_ = conn.client.Conn().Close()
	conn.client = nil
}

func textRow(values [][]byte) []string {
	row := make([]string, len(values))
	for i, value := range values {
		row[i] = string(value)
	}
	return row
}
