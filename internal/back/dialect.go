package back

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Dialect gives the statements by which the servers of a group are ordered about.
type Dialect interface {
	// StatusStatement asks a server for its status.
	StatusStatement() string
	// PromoteStatement opens a term on a server.
	PromoteStatement(term spool.Term) string
	// FollowStatement makes a server a replica of the primary at address.
	FollowStatement(term spool.Term, address string) string
	// ParseStatus reads the single row that answers StatusStatement and fails on anything else.
	ParseStatus(row []string) (spool.ServerStatus, error)
}

var dialects = struct {
	sync.RWMutex
	named map[string]Dialect
}{named: map[string]Dialect{}}

// RegisterDialect makes a dialect known by name; a later one of the same name replaces it.
func RegisterDialect(name string, dialect Dialect) {
	dialects.Lock()
	defer dialects.Unlock()
	dialects.named[name] = dialect
}

// DialectByName returns the dialect of that name or an error.
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

// registerDialect is that of the register store.
type registerDialect struct{}

// StatusStatement asks for term, position, role and start.
func (registerDialect) StatusStatement() string { return "POSITION" }

// PromoteStatement opens a term.
func (registerDialect) PromoteStatement(term spool.Term) string {
	return fmt.Sprintf("PROMOTE %d", term)
}

// FollowStatement names the term and the primary's address.
func (registerDialect) FollowStatement(term spool.Term, address string) string {
	return fmt.Sprintf("FOLLOW %d %s", term, address)
}

// ParseStatus reads the columns term, position, primary and start.
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
