package regsrv

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramSalt       = "regsrv-salt-0001"
	scramIterations = 4096
	replicaName     = "regsrv.replica" // application name of replication connections
)

func (server *Server) prepareCredentials() error {
	client, err := scram.SHA256.NewClient(server.user, server.password, "")
	if err != nil {
		return eris.Wrap(err, "preparing the password")
	}
	factors := scram.KeyFactors{Salt: scramSalt, Iters: scramIterations}
	server.credentials, err = client.GetStoredCredentialsWithError(factors)
	return eris.Wrap(err, "preparing the password")
}

// start performs the startup and reports if the session may go on.
func (session *session) start() bool {
	startup, ok := session.receiveStartup()
	if !ok {
		return false
	}
	server := session.server
	session.replica = startup.Parameters["application_name"] == replicaName
	if err := server.add(session); err != nil {
		session.fail(err)
		return false
	}
	if !session.replica && !server.pause(server.currentFaults().ConnectDelay) {
		server.remove(session)
		return false
	}
	if err := session.authenticate(startup); err != nil {
		session.fail(err)
		server.remove(session)
		return false
	}
	session.greet()
	return true
}

func (session *session) receiveStartup() (*pgproto3.StartupMessage, bool) {
	for {
		message, err := session.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		session.server.thaw()
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, true
		case *pgproto3.CancelRequest:
			session.server.cancel(message.ProcessID, message.SecretKey)
			return nil, false
		default:
			if _, err := session.connection.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		}
	}
}

func (session *session) authenticate(startup *pgproto3.StartupMessage) error {
	login := Login{User: startup.Parameters["user"], Parameters: startup.Parameters}
	var err error
	if session.server.cleartext {
		login.Password, err = session.askPassword()
	} else {
		err = session.scram()
	}
	if !session.replica {
		session.server.seen.login(login)
	}
	if err != nil {
		return err
	}
	wrong := session.server.cleartext && login.Password != session.server.password
	if wrong || login.User != session.server.user {
		return errPassword
	}
	session.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (session *session) askPassword() (string, error) {
	session.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := session.ask(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	message, err := session.backend.Receive()
	if err != nil {
		return "", err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errPassword
	}
	return password.Password, nil
}

func (session *session) ask(authType uint32) error {
	if err := session.flush(); err != nil {
		return err
	}
	return session.backend.SetAuthType(authType)
}

func (session *session) scram() error {
	lookup := func(string) (scram.StoredCredentials, error) { return session.server.credentials, nil }
	scramServer, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return err
	}
	conversation := scramServer.NewConversation()
	session.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := session.ask(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	for !conversation.Done() {
		message, err := session.backend.Receive()
		if err != nil {
			return err
		}
		answer, err := conversation.Step(saslData(message))
		if err != nil {
			return errPassword
		}
		if conversation.Done() {
			session.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
			break
		}
		session.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
		if err := session.ask(pgproto3.AuthTypeSASLContinue); err != nil {
			return err
		}
	}
	if !conversation.Valid() {
		return errPassword
	}
	return nil
}

func saslData(message pgproto3.FrontendMessage) string {
	switch message := message.(type) {
	case *pgproto3.SASLInitialResponse:
		return string(message.Data)
	case *pgproto3.SASLResponse:
		return string(message.Data)
	}
	return ""
}

// greet sends the parameters that a client expects and the first ReadyForQuery.
func (session *session) greet() {
	standby := "on"
	if session.server.store.isPrimary() {
		standby = "off"
	}
	parameters := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "16.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "in_hot_standby", Value: standby},
	}
	for i := range parameters {
		session.backend.Send(&parameters[i])
	}
	session.backend.Send(&pgproto3.BackendKeyData{ProcessID: session.id, SecretKey: secretOf(session.id)})
	session.ready()
}

func secretOf(id uint32) []byte {
	const mask = 0x5eed5eed
	return binary.BigEndian.AppendUint32(nil, id^mask)
}
