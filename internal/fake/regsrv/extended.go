package regsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

const textOID = 25

// handleExtended answers one message of the extended query protocol other than Sync and Flush.
func (session *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return session.parse(message)
	case *pgproto3.Bind:
		return session.bind(message)
	case *pgproto3.Describe:
		return session.describe(message)
	case *pgproto3.Execute:
		return session.executePortal(message)
	case *pgproto3.Close:
		session.closeObject(message)
		return nil
	}
	return &sqlError{Code: "0A000", Message: "the message is not supported"}
}

func (session *session) parse(message *pgproto3.Parse) error {
	statements, err := parse(message.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return &sqlError{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	if _, taken := session.statements[message.Name]; taken && message.Name != "" {
		return &sqlError{Code: "42P05", Message: "prepared statement \"" + message.Name + "\" already exists"}
	}
	parsed := statement{}
	if len(statements) == 1 {
		parsed = statements[0]
	}
	session.statements[message.Name] = parsed
	session.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (session *session) findStatement(name string) (statement, error) {
	parsed, ok := session.statements[name]
	if !ok {
		return parsed, &sqlError{Code: "26000", Message: "prepared statement \"" + name + "\" does not exist"}
	}
	return parsed, nil
}

func (session *session) findPortal(name string) (portal, error) {
	bound, ok := session.portals[name]
	if !ok {
		return bound, &sqlError{Code: "34000", Message: "portal \"" + name + "\" does not exist"}
	}
	return bound, nil
}

func (session *session) bind(message *pgproto3.Bind) error {
	parsed, err := session.findStatement(message.PreparedStatement)
	if err != nil {
		return err
	}
	values := []string{}
	for _, value := range message.Parameters {
		values = append(values, string(value))
	}
	session.portals[message.DestinationPortal] = portal{Statement: parsed, Parameters: values}
	session.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (session *session) describe(message *pgproto3.Describe) error {
	if message.ObjectType == 'P' {
		bound, err := session.findPortal(message.Name)
		if err != nil {
			return err
		}
		session.describeRows(bound.Statement)
		return nil
	}
	parsed, err := session.findStatement(message.Name)
	if err != nil {
		return err
	}
	oids := make([]uint32, parsed.parameterCount())
	for i := range oids {
		oids[i] = textOID
	}
	session.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	session.describeRows(parsed)
	return nil
}

func (session *session) describeRows(parsed statement) {
	names := columns[parsed.Verb]
	if names == nil {
		session.backend.Send(&pgproto3.NoData{})
		return
	}
	session.sendColumns(names)
}

func (session *session) sendColumns(names []string) {
	fields := []pgproto3.FieldDescription{}
	for _, name := range names {
		fields = append(fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	session.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (session *session) executePortal(message *pgproto3.Execute) error {
	bound, err := session.findPortal(message.Portal)
	if err != nil {
		return err
	}
	if bound.Statement.Verb == "" {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	return session.execute(bound.Statement, bound.Parameters, false)
}

func (session *session) closeObject(message *pgproto3.Close) {
	if message.ObjectType == 'P' {
		delete(session.portals, message.Name)
	} else {
		delete(session.statements, message.Name)
	}
	session.backend.Send(&pgproto3.CloseComplete{})
}
