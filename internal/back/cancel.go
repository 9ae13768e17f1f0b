package back

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancel sends a cancel request for the running cycle and sets a deadline for the rest of its response.
func (conn *Conn) cancel() {
	deadline := time.Now().Add(conn.cancelTimeout)
	_ = conn.socket.SetDeadline(deadline)
	dialer := net.Dialer{Deadline: deadline}
	socket, err := dialer.Dial(conn.socket.RemoteAddr().Network(), conn.socket.RemoteAddr().String())
	if err != nil {
		return
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(deadline)
	if conn.tls != nil {
		if socket, err = conn.startTLS(socket); err != nil {
			return
		}
	}
	request := pgproto3.CancelRequest{ProcessID: conn.processID, SecretKey: conn.secretKey}
	if _, err := socket.Write(encodeFrontend(nil, &request)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(socket, bufferSize)) // the server closes the socket once it has the request
}

func (conn *Conn) startTLS(socket net.Conn) (net.Conn, error) {
	if _, err := socket.Write(encodeFrontend(nil, &pgproto3.SSLRequest{})); err != nil {
		return socket, err
	}
	var reply [1]byte
	if _, err := io.ReadFull(socket, reply[:]); err != nil {
		return socket, err
	}
	return tls.Client(socket, conn.tls), nil
}
