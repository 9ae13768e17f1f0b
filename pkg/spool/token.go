package spool

import (
	"fmt"
	"strconv"
	"strings"
)

// Group is the name of a database group.
type Group string

// Server is the name of a backend server within its group.
type Server string

// Term numbers the successive primaries of a group; each promotion increments it.
type Term uint64

// Position is a position in a group's replication log, counted in log records.
type Position uint64

// SessionToken is the newest position in a group's log that a session has seen.
type SessionToken struct {
	Group    Group
	Term     Term
	Position Position
}

// String returns the text form group/term/position, which ParseSessionToken parses.
func (token SessionToken) String() string {
	return fmt.Sprintf("%s/%d/%d", token.Group, token.Term, token.Position)
}

// Merge returns the later of both tokens, compared by term and then by position.
func (token SessionToken) Merge(other SessionToken) SessionToken {
	if other.Term > token.Term {
		return other
	}
	if other.Term == token.Term && other.Position > token.Position {
		return other
	}
	return token
}

// ParseSessionToken parses the text form group/term/position and fails on any other.
func ParseSessionToken(text string) (SessionToken, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 || parts[0] == "" {
		return SessionToken{}, fmt.Errorf("token %q is not of the form group/term/position", text)
	}
	term, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return SessionToken{}, fmt.Errorf("token %q has an invalid term: %w", text, err)
	}
	position, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return SessionToken{}, fmt.Errorf("token %q has an invalid position: %w", text, err)
	}
	return SessionToken{Group: Group(parts[0]), Term: Term(term), Position: Position(position)}, nil
}
