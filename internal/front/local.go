package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

const textOID = 25

type localKind int

const (
	localSet      localKind = iota // SET or RESET of a session parameter
	localShow                      // SHOW of a session parameter
	localEmpty                     // empty query string
	localRollback                  // ends a transaction whose server was lost
)

// localStatement is a statement that the proxy answers itself.
type localStatement struct {
	kind  localKind
	name  string // of the parameter
	value string // for localSet
}

var (
	emptyStatement    = &localStatement{kind: localEmpty}
	rollbackStatement = &localStatement{kind: localRollback}
)

var sessionParameters = map[string]bool{tokenParameter: true, maxAgeParameter: true, applicationParameter: true}

// parseLocalStatement parses SET, RESET and SHOW of a session parameter; it returns nil for other statements.
func parseLocalStatement(statement statement) (*localStatement, *spool.Refusal) {
	command := statement.word(0)
	if command != "SET" && command != "SHOW" && command != "RESET" {
		return nil, nil
	}
	next := 1
	if command == "SET" && statement.word(next) == "SESSION" {
		next++
	}
	name, next := statement.parameterName(next)
	if !sessionParameters[name] {
		return nil, nil
	}
	local := &localStatement{name: name}
	if command == "SHOW" {
		local.kind = localShow
	}
	if command != "SET" {
		return local, refuseTrailingTokens(statement, next)
	}
	if next >= len(statement.tokens) || statement.tokens[next].text != "=" && statement.word(next) != "TO" {
		return nil, notRun(codeSyntax, "SET %s lacks = or TO", name)
	}
	if next+1 >= len(statement.tokens) {
		return nil, notRun(codeSyntax, "SET %s lacks a value", name)
	}
	if statement.word(next+1) == "DEFAULT" {
		return local, refuseTrailingTokens(statement, next+2)
	}
	if token := statement.tokens[next+1]; token.kind == tokenLiteral {
		local.value = unquote(token.text)
		return local, refuseTrailingTokens(statement, next+2)
	}
	rest := statement.text[statement.tokens[next+1].start-statement.tokens[0].start:]
	local.value = strings.Clone(strings.Trim(rest, `"`))
	return local, nil
}

// parameterName returns the parameter name at index, qualified or not, in lower case, and the index after it.
func (statement statement) parameterName(index int) (name string, next int) {
	name = strings.ToLower(statement.word(index))
	index++
	if index+1 < len(statement.tokens) && statement.tokens[index].text == "." {
		return name + "." + strings.ToLower(statement.word(index+1)), index + 2
	}
	return name, index
}

func refuseTrailingTokens(statement statement, index int) *spool.Refusal {
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

// rowDescription returns the description of the result rows, or nil if the statement returns none.
func (local *localStatement) rowDescription() *pgproto3.RowDescription {
	if local.kind != localShow {
		return nil
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(local.name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

// runLocalStatement executes the statement and queues its rows and CommandComplete.
func (session *session) runLocalStatement(local *localStatement) *spool.Refusal {
	switch local.kind {
	case localEmpty:
		session.output.Send(&pgproto3.EmptyQueryResponse{})
	case localRollback:
		session.txLost = false
		session.output.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case localShow:
		session.output.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(session.parameterValue(local.name))}})
		session.output.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	case localSet:
		if refusal := session.setParameter(local.name, local.value); refusal != nil {
			return refusal
		}
		session.output.Send(&pgproto3.ParameterStatus{Name: local.name, Value: session.parameterValue(local.name)})
		session.output.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	}
	return nil
}
