package front

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// Request codes that are sent in place of a protocol version.
const (
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	protocolMajor     = 3
)

// serveConnection handles a caller's connection from startup to close.
func (front *Front) serveConnection(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	session, refusal := front.login(socket)
	<-front.startupSlots
	if session == nil {
		return
	}
	if refusal == nil {
		refusal = front.register(session)
	}
	if refusal != nil {
		front.observer.LoginRefused(socket.RemoteAddr(), refusal)
		session.output.sendFinal(errorResponse(refusal, severityFatal))
		session.linger()
		return
	}
	defer front.unregister(session)
	session.run()
}

// login handles a connection up to its first ReadyForQuery; a nil session means that no response is due.
func (front *Front) login(socket net.Conn) (*session, *spool.Refusal) {
	if refusal := front.beginLogin(socket); refusal != nil {
		return front.newSession(socket), refusal
	}
	defer front.endLogin(socket)
	session, message, refusal := front.negotiateStartup(socket)
	if session == nil || refusal != nil {
		return session, refusal
	}
	return session, session.authenticate(message)
}

// negotiateStartup answers encryption requests up to the startup message and handles a cancel request.
func (front *Front) negotiateStartup(socket net.Conn) (*session, *pgproto3.StartupMessage, *spool.Refusal) {
	session := front.newSession(socket)
	for range maxStartupRequests {
		body, err := session.input.readStartup()
		if errors.Is(err, io.EOF) {
			return nil, nil, nil
		}
		if err != nil {
			return session, nil, startupRefusal(err)
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case sslRequestCode, gssRequestCode:
			if session.input.Buffered() > 0 {
				return session, nil, notRun(spool.CodeProtocol, "data follows an encryption request unencrypted")
			}
			if code == gssRequestCode || front.tls == nil || session.encrypted {
				_, _ = session.socket.Write([]byte{'N'})
				continue
			}
			_, _ = socket.Write([]byte{'S'})
			session = front.newSession(tls.Server(socket, front.tls))
			session.encrypted = true
		case cancelRequestCode:
			var request pgproto3.CancelRequest
			if request.Decode(body) == nil {
				front.cancelRegistry.cancel(request.ProcessID, request.SecretKey)
			}
			return nil, nil, nil
		default:
			message, refusal := session.decodeStartup(body)
			return session, message, refusal
		}
	}
	return session, nil, notRun(spool.CodeProtocol, "too many encryption requests")
}

// decodeStartup decodes the startup message and negotiates protocol version 3.0.
func (session *session) decodeStartup(body []byte) (*pgproto3.StartupMessage, *spool.Refusal) {
	version := binary.BigEndian.Uint32(body)
	if version>>16 != protocolMajor {
		return nil, notRun(spool.CodeProtocol, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	message := &pgproto3.StartupMessage{}
	if err := message.Decode(body); err != nil {
		return nil, notRun(spool.CodeProtocol, "invalid startup message: %s", err)
	}
	if version != pgproto3.ProtocolVersion30 {
		session.output.Send(&pgproto3.NegotiateProtocolVersion{})
	}
	return message, nil
}

func startupRefusal(err error) *spool.Refusal {
	if refusal, ok := err.(*spool.Refusal); ok {
		return refusal
	}
	return notRun(spool.CodeProtocol, "the startup message did not arrive: %s", err)
}
