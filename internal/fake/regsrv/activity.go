package regsrv

import (
	"slices"
	"sync"
)

const (
	maxRecordedStatements = 100000
	maxArgumentBytes      = 256 // of each recorded argument
)

// Login holds the credentials and startup parameters that a client sent.
type Login struct {
	User       string
	Password   string // empty if the client authenticated with SCRAM
	Parameters map[string]string
}

// ExecutedStatement is one statement with its arguments.
type ExecutedStatement struct {
	Connection uint32
	Verb       string
	Arguments  []string
}

// Activity records the logins and statements of clients; replication connections are not counted.
type Activity struct {
	Logins         []Login
	Statements     []ExecutedStatement // the first maxRecordedStatements
	StatementCount int
	PrimaryReads   int // GET and LIST executed while primary
	ReplicaReads   int // GET and LIST executed while replica
	MaxConnections int // highest number of concurrent connections
	Executing      int // statements in flight
	MaxExecuting   int // highest number of statements in flight
}

// activityRecorder guards an Activity for concurrent sessions.
type activityRecorder struct {
	mutex sync.Mutex
	data  Activity
}

func (recorder *activityRecorder) snapshot() Activity {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	copied := recorder.data
	copied.Logins = slices.Clone(copied.Logins)
	copied.Statements = slices.Clone(copied.Statements)
	return copied
}

func (recorder *activityRecorder) recordLogin(login Login) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.data.Logins = append(recorder.data.Logins, login)
}

func (recorder *activityRecorder) recordStatement(executed ExecutedStatement) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.data.StatementCount++
	if len(recorder.data.Statements) < maxRecordedStatements {
		for i, argument := range executed.Arguments {
			executed.Arguments[i] = argument[:min(len(argument), maxArgumentBytes)]
		}
		recorder.data.Statements = append(recorder.data.Statements, executed)
	}
}

// recordRead counts a read by the server's role.
func (recorder *activityRecorder) recordRead(primary bool) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if primary {
		recorder.data.PrimaryReads++
	} else {
		recorder.data.ReplicaReads++
	}
}

func (recorder *activityRecorder) recordConnections(count int) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.data.MaxConnections = max(recorder.data.MaxConnections, count)
}

func (recorder *activityRecorder) addExecuting(change int) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.data.Executing += change
	recorder.data.MaxExecuting = max(recorder.data.MaxExecuting, recorder.data.Executing)
}
