package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

const textOID = 25

type ownKind int

const (
	ownSet      ownKind = iota
	ownShow             // SHOW of a parameter of the session
	ownEmpty            // no statement at all
	ownRollback         // ends a transaction whose server is gone
)

// ownStatement is a statement that the proxy answers itself.
type ownStatement struct {
	kind  ownKind
	name  string // the parameter
	value string // to be set
}

var (
	emptyStatement    = &ownStatement{kind: ownEmpty}
	rollbackStatement = &ownStatement{kind: ownRollback}
)

var ownParameters = map[string]bool{tokenParameter: true, maxAgeParameter: true, applicationParameter: true}

// parseOwn returns nil unless the statement sets or shows a parameter of the session.
func parseOwn(statement statement) (*ownStatement, *spool.Refusal) {
	command := statement.word(0)
	if command != "SET" && command != "SHOW" && command != "RESET" {
		return nil, nil
	}
	next := 1
	if command == "SET" && statement.word(next) == "SESSION" {
		next++
	}
	name, next := statement.name(next)
	if !ownParameters[name] {
		return nil, nil
	}
	own := &ownStatement{name: name}
	if command == "SHOW" {
		own.kind = ownShow
	}
	if command != "SET" {
		return own, trailing(statement, next)
	}
	if next >= len(statement.tokens) || statement.tokens[next].text != "=" && statement.word(next) != "TO" {
		return nil, notRun(codeSyntax, "SET %s lacks = or TO", name)
	}
	if next+1 >= len(statement.tokens) {
		return nil, notRun(codeSyntax, "SET %s lacks a value", name)
	}
	if statement.word(next+1) == "DEFAULT" {
		return own, trailing(statement, next+2)
	}
	if token := statement.tokens[next+1]; token.kind == tokenLiteral {
		own.value = unquote(token.text)
		return own, trailing(statement, next+2)
	}
	rest := statement.text[statement.tokens[next+1].start-statement.tokens[0].start:]
	own.value = strings.Clone(strings.Trim(rest, `"`))
	return own, nil
}

// name reads a parameter's name, with a dot or without, in lower case.
func (statement statement) name(index int) (name string, next int) {
	name = strings.ToLower(statement.word(index))
	index++
	if index+1 < len(statement.tokens) && statement.tokens[index].text == "." {
		return name + "." + strings.ToLower(statement.word(index+1)), index + 2
	}
	return name, index
}

func trailing(statement statement, index int) *spool.Refusal {
	if index >= len(statement.tokens) {
		return nil
	}
	return notRun(codeSyntax, "syntax error at or near %q", statement.tokens[index].text)
}

func unquote(literal string) string {
	if len(literal) < 2 || literal[0] != '\'' {
		return strings.Trim(literal, "$")
	}
	return strings.ReplaceAll(literal[1:len(literal)-1], "''", "'")
}

// rowDescription describes the answer; nil means that there are no rows.
func (own *ownStatement) rowDescription() *pgproto3.RowDescription {
	if own.kind != ownShow {
		return nil
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(own.name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

// runOwn carries the statement out and queues its rows and its completion.
func (session *session) runOwn(own *ownStatement) *spool.Refusal {
	switch own.kind {
	case ownEmpty:
		session.output.Send(&pgproto3.EmptyQueryResponse{})
	case ownRollback:
		session.lost = false
		session.output.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case ownShow:
		session.output.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(session.show(own.name))}})
		session.output.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	case ownSet:
		if refusal := session.set(own.name, own.value); refusal != nil {
			return refusal
		}
		session.output.Send(&pgproto3.ParameterStatus{Name: own.name, Value: session.show(own.name)})
		session.output.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	}
	return nil
}
