package regsrv

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism         = "SCRAM-SHA-256"
	scramSalt              = "regsrv-salt-0001"
	scramIterations        = 4096
	replicaApplicationName = "regsrv.replica" // application_name of replication connections
)

func (server *Server) prepareCredentials() error {
	client, err := scram.SHA256.NewClient(server.user, server.password, "")
	if err != nil {
		return eris.Wrap(err, "deriving the SCRAM credentials")
	}
	factors := scram.KeyFactors{Salt: scramSalt, Iters: scramIterations}
	server.credentials, err = client.GetStoredCredentialsWithError(factors)
	return eris.Wrap(err, "deriving the SCRAM credentials")
}

// performStartup handles the startup and authentication and reports whether the session may continue.
func (session *session) performStartup() bool {
	startup, ok := session.receiveStartup()
	if !ok {
		return false
	}
	server := session.server
	session.replica = startup.Parameters["application_name"] == replicaApplicationName
	if err := server.addSession(session); err != nil {
		session.abortWithError(err)
		return false
	}
	if !session.replica && !server.sleep(server.currentFaults().ConnectDelay) {
		server.removeSession(session)
		return false
	}
	if err := session.authenticate(startup); err != nil {
		session.abortWithError(err)
		server.removeSession(session)
		return false
	}
	session.sendStartupResponse()
	return true
}

func (session *session) receiveStartup() (*pgproto3.StartupMessage, bool) {
	for {
		message, err := session.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		session.server.waitWhileFrozen()
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, true
		case *pgproto3.CancelRequest:
			session.server.cancelSession(message.ProcessID, message.SecretKey)
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
		login.Password, err = session.requestPassword()
	} else {
		err = session.authenticateSCRAM()
	}
	if !session.replica {
		session.server.recorder.recordLogin(login)
	}
	if err != nil {
		return err
	}
	wrongPassword := session.server.cleartext && login.Password != session.server.password
	if wrongPassword || login.User != session.server.user {
		return errWrongPassword
	}
	session.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (session *session) requestPassword() (string, error) {
	session.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := session.sendAuthRequest(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	message, err := session.backend.Receive()
	if err != nil {
		return "", err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errWrongPassword
	}
	return password.Password, nil
}

func (session *session) sendAuthRequest(authType uint32) error {
	if err := session.flush(); err != nil {
		return err
	}
	return session.backend.SetAuthType(authType)
}

func (session *session) authenticateSCRAM() error {
	lookup := func(string) (scram.StoredCredentials, error) { return session.server.credentials, nil }
	scramServer, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return err
	}
	conversation := scramServer.NewConversation()
	session.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := session.sendAuthRequest(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	for !conversation.Done() {
		message, err := session.backend.Receive()
		if err != nil {
			return err
		}
		answer, err := conversation.Step(saslData(message))
		if err != nil {
			return errWrongPassword
		}
		if conversation.Done() {
			session.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
			break
		}
		session.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
		if err := session.sendAuthRequest(pgproto3.AuthTypeSASLContinue); err != nil {
			return err
		}
	}
	if !conversation.Valid() {
		return errWrongPassword
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

// sendStartupResponse sends the parameters that clients expect, the key for cancel requests and ReadyForQuery.
func (session *session) sendStartupResponse() {
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
	session.backend.Send(&pgproto3.BackendKeyData{ProcessID: session.id, SecretKey: secretKey(session.id)})
	session.sendReady()
}

func secretKey(id uint32) []byte {
	const mask = 0x5eed5eed
	return binary.BigEndian.AppendUint32(nil, id^mask)
}
