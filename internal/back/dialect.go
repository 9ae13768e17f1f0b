package back

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Dialect provides the statements that query and change the roles of the servers of a group.
type Dialect interface {
	// StatusStatement returns the statement that queries the status of a server.
	StatusStatement() string
	// PromoteStatement returns the statement that makes a server the primary of a term.
	PromoteStatement(term spool.Term) string
	// FollowStatement returns the statement that makes a server a replica of the primary at address.
	FollowStatement(term spool.Term, address string) string
	// ParseStatus parses the single row that StatusStatement returns and fails on anything else.
	ParseStatus(row []string) (spool.ServerStatus, error)
}

var dialects = struct {
	sync.RWMutex
	named map[string]Dialect
}{named: map[string]Dialect{}}

// RegisterDialect registers a dialect under a name and replaces an earlier one of that name.
func RegisterDialect(name string, dialect Dialect) {
	dialects.Lock()
	defer dialects.Unlock()
	dialects.named[name] = dialect
}

// DialectByName returns the dialect registered under a name, or an error if there is none.
func DialectByName(name string) (Dialect, error) {
	dialects.RLock()
	defer dialects.RUnlock()
	dialect, found := dialects.named[name]
	if !found {
		return nil, eris.Errorf("dialect %q does not exist", name)
	}
	return dialect, nil
}

func init() {
	RegisterDialect("register", registerDialect{})
}

// registerDialect is the dialect of the register store, which the test server internal/fake/regsrv implements.
type registerDialect struct{}

// StatusStatement queries term, position, role and start position.
func (registerDialect) StatusStatement() string { return "POSITION" }

// PromoteStatement passes the term.
func (registerDialect) PromoteStatement(term spool.Term) string {
	return fmt.Sprintf("PROMOTE %d", term)
}

// FollowStatement passes the term and the address of the primary.
func (registerDialect) FollowStatement(term spool.Term, address string) string {
	return fmt.Sprintf("FOLLOW %d %s", term, address)
}

// ParseStatus parses the columns term, position, primary and start.
func (registerDialect) ParseStatus(row []string) (spool.ServerStatus, error) {
	if len(row) < 4 {
		return spool.ServerStatus{}, eris.Errorf("status row has %d columns instead of 4", len(row))
	}
	var numbers [3]uint64
	for i, text := range []string{row[0], row[1], row[3]} {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return spool.ServerStatus{}, eris.Wrapf(err, "number %q in a status row", text)
		}
		numbers[i] = number
	}
	return spool.ServerStatus{
		Term:     spool.Term(numbers[0]),
		Position: spool.Position(numbers[1]),
		Primary:  row[2] == "t" || row[2] == "true",
		Start:    spool.Position(numbers[2]),
	}, nil
}
