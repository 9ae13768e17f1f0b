package front

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"corianderspool.example/spool/pkg/spool"
)

// Session parameters that callers may set.
const (
	tokenParameter       = "corianderspool.token"
	maxAgeParameter      = "corianderspool.max_age"
	applicationParameter = "application_name"
)

// reportedParameters are sent to each caller after authentication.
var reportedParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// authenticate checks the caller's key and sends the responses up to the first ReadyForQuery.
func (session *session) authenticate(message *pgproto3.StartupMessage) *spool.Refusal {
	key := message.Parameters["user"]
	route := message.Parameters["database"]
	if key == "" {
		return notRun(spool.CodeNotAllowed, "the startup message names no user")
	}
	if route == "" {
		route = key
	}
	login, refusal := session.front.dispatcher.Login(key, route)
	if refusal := session.checkKey(key, login, refusal); refusal != nil {
		return refusal
	}
	session.login = login
	session.classifier = newClassifier(login.Route)
	for name, value := range message.Parameters {
		if refusal := session.applyStartupParameter(name, value); refusal != nil {
			return refusal
		}
	}
	session.front.cancelRegistry.add(session)
	session.sendLoginComplete()
	if err := session.output.Flush(); err != nil {
		return notRun(spool.CodeProtocol, "the caller went away")
	}
	return nil
}

// checkKey runs the password exchange. A refused login runs it against a mock verifier, so that the exchange does not
// reveal whether the key exists.
func (session *session) checkKey(key string, login spool.Login, refusal *spool.Refusal) *spool.Refusal {
	if refusal == nil && login.Verifier == "" {
		if login.Route.Open {
			return nil
		}
		return notRun(spool.CodeNotAllowed, "the key has no verifier")
	}
	credentials, err := parseVerifier(login.Verifier)
	if err != nil {
		credentials = session.front.mockVerifiers.credentials(key)
	}
	valid, failure := session.exchangeScram(credentials)
	switch {
	case failure != nil:
		return failure
	case refusal != nil && (valid || refusal.Code != spool.CodeBadKey):
		return refusal
	case refusal != nil || !valid:
		return notRun(spool.CodeBadKey, "password authentication failed for key %q", key)
	}
	return nil
}

// applyStartupParameter applies a parameter of the startup message; unsupported parameters and values are refused.
func (session *session) applyStartupParameter(name, value string) *spool.Refusal {
	switch strings.ToLower(name) {
	case "user", "database", "datestyle", "timezone", "extra_float_digits":
		return nil
	case "client_encoding":
		if encoding := strings.ToUpper(strings.Trim(value, "'")); encoding != "UTF8" && encoding != "UTF-8" {
			return unsupported("client_encoding %q is not supported; use UTF8", value)
		}
		return nil
	case tokenParameter, maxAgeParameter, applicationParameter:
		return session.setParameter(strings.ToLower(name), value)
	}
	if strings.HasPrefix(name, "_pq_.") {
		return nil
	}
	return unsupported("startup parameter %q is not supported, since connections to servers are shared", name)
}

// setParameter sets a session parameter.
func (session *session) setParameter(name, value string) *spool.Refusal {
	switch name {
	case tokenParameter:
		return session.setToken(value)
	case maxAgeParameter:
		return session.setMaxAge(value)
	case applicationParameter:
		session.applicationName = value
		return nil
	}
	return notRun(codeUnknownSetting, "unrecognized configuration parameter %q", name)
}

func (session *session) setToken(value string) *spool.Refusal {
	if value == "" {
		session.token = spool.SessionToken{}
		return nil
	}
	token, err := spool.ParseSessionToken(value)
	if err != nil {
		return notRun(codeInvalidValue, "%s: %s", tokenParameter, err)
	}
	if token.Group != session.login.Route.Group {
		return notRun(codeInvalidValue, "%s: group %q is not that of route %q",
			tokenParameter, token.Group, session.login.Route.Name)
	}
	session.token = token
	return nil
}

func (session *session) setMaxAge(value string) *spool.Refusal {
	if value == "" {
		session.maxAge = 0
		return nil
	}
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return notRun(codeInvalidValue, "%s: %q is not a duration such as 250ms", maxAgeParameter, value)
	}
	session.maxAge = age
	return nil
}

// parameterValue returns the value of a session parameter.
func (session *session) parameterValue(name string) string {
	switch name {
	case tokenParameter:
		if session.token == (spool.SessionToken{}) {
			return ""
		}
		return session.token.String()
	case maxAgeParameter:
		return session.maxAge.String()
	}
	return session.applicationName
}

func (session *session) sendLoginComplete() {
	session.output.Send(&pgproto3.AuthenticationOk{})
	for i := range reportedParameters {
		session.output.Send(&reportedParameters[i])
	}
	session.output.Send(&pgproto3.ParameterStatus{Name: applicationParameter, Value: session.applicationName})
	session.output.Send(&pgproto3.BackendKeyData{ProcessID: session.processID, SecretKey: session.secretKey})
	session.output.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
}

// exchangeScram runs SCRAM-SHA-256 and reports whether the caller proved the password; a failure means that the
// exchange was not completed.
func (session *session) exchangeScram(credentials scram.StoredCredentials) (valid bool, failure *spool.Refusal) {
	conversation, err := newConversation(credentials)
	if err != nil {
		return false, notRun(codeInternal, "%s", err)
	}
	session.output.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	body, failure := session.readSASLMessage()
	if failure != nil {
		return false, failure
	}
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(body); err != nil || initial.AuthMechanism != scramMechanism {
		return false, notRun(spool.CodeProtocol, "the caller chose no supported authentication")
	}
	first, err := conversation.Step(string(initial.Data))
	if err != nil {
		return false, notRun(spool.CodeProtocol, "invalid %s message", scramMechanism)
	}
	session.output.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(first)})
	if body, failure = session.readSASLMessage(); failure != nil {
		return false, failure
	}
	final, err := conversation.Step(string(body))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	session.output.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return true, nil
}

// readSASLMessage flushes the output and reads the caller's next message of the password exchange.
func (session *session) readSASLMessage() ([]byte, *spool.Refusal) {
	if err := session.output.Flush(); err != nil {
		return nil, notRun(spool.CodeProtocol, "the caller went away")
	}
	message, err := session.input.next()
	if err != nil {
		return nil, startupRefusal(err)
	}
	if message[0] != 'p' {
		return nil, notRun(spool.CodeProtocol, "message %q came in place of a password", message[0])
	}
	return message[headerSize:], nil
}
