package back

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// acceptedAuthentication excludes MD5 password authentication.
const acceptedAuthentication = "scram-sha-256,password,none"

// Dial connects to a server and authenticates; an error implies that no statement was sent.
func Dial(ctx context.Context, server spool.ServerSpec, credentials Credentials, options ...Option) (*Conn, error) {
	config, err := newConfig(server, credentials)
	if err != nil {
		return nil, err
	}
	client, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to server %s", server.Name)
	}
	if err := client.SyncConn(ctx); err != nil {
		return nil, eris.Wrapf(err, "synchronize with server %s", server.Name)
	}
	hijacked, err := client.Hijack()
	if err != nil {
		return nil, eris.Wrapf(err, "hijack the connection to server %s", server.Name)
	}
	return newConn(server, hijacked, newSettings(options)), nil
}

func newConfig(server spool.ServerSpec, credentials Credentials) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(server.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "address of server %s", server.Name)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, eris.Wrapf(err, "port of server %s", server.Name)
	}
	config, err := pgconn.ParseConfig("host=127.0.0.1 user=none password=none sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "parse default connection settings")
	}
	config.Host = host
	config.Port = uint16(port)
	config.User = credentials.User
	config.Password = credentials.Password
	config.Database = credentials.Database
	config.TLSConfig = serverTLS(credentials.TLS, host)
	config.Fallbacks = nil
	config.RequireAuth = acceptedAuthentication
	config.RuntimeParams = map[string]string{
		"application_name": applicationName,
		"client_encoding":  "UTF8",
		"DateStyle":        "ISO, MDY",
		"TimeZone":         "UTC",
	}
	return config, nil
}

// serverTLS returns config with host as the name to verify in the server's certificate, unless it has one already.
func serverTLS(config *tls.Config, host string) *tls.Config {
	if config == nil || config.ServerName != "" {
		return config
	}
	config = config.Clone()
	config.ServerName = host
	return config
}
