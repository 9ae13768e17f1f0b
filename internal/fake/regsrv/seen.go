package regsrv

import (
	"slices"
	"sync"
)

const (
	maxSeenStatements = 100000
	maxSeenBytes      = 256 // of an argument
)

// Login is what a client sent to be let in.
type Login struct {
	User       string
	Password   string // empty with SCRAM
	Parameters map[string]string
}

// Executed is one statement with its arguments.
type Executed struct {
	Connection uint32
	Verb       string
	Arguments  []string
}

// Seen is what clients sent so far; replicas do not count.
type Seen struct {
	Logins         []Login
	Statements     []Executed // the first of them
	StatementCount int
	PrimaryReads   int // GET and LIST run as primary
	ReplicaReads   int // GET and LIST run as replica
	MaxConnections int // at once
	Executing      int
	MaxExecuting   int // at once
}

type seen struct {
	mutex sync.Mutex
	data  Seen
}

func (seen *seen) snapshot() Seen {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	copied := seen.data
	copied.Logins = slices.Clone(copied.Logins)
	copied.Statements = slices.Clone(copied.Statements)
	return copied
}

func (seen *seen) login(login Login) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.data.Logins = append(seen.data.Logins, login)
}

func (seen *seen) statement(executed Executed) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.data.StatementCount++
	if len(seen.data.Statements) < maxSeenStatements {
		for i, argument := range executed.Arguments {
			executed.Arguments[i] = argument[:min(len(argument), maxSeenBytes)]
		}
		seen.data.Statements = append(seen.data.Statements, executed)
	}
}

// read counts a read by the server's role.
func (seen *seen) read(primary bool) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	if primary {
		seen.data.PrimaryReads++
	} else {
		seen.data.ReplicaReads++
	}
}

func (seen *seen) countConnections(count int) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.data.MaxConnections = max(seen.data.MaxConnections, count)
}

func (seen *seen) executing(change int) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.data.Executing += change
	seen.data.MaxExecuting = max(seen.data.MaxExecuting, seen.data.Executing)
}
