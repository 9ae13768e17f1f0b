package demo

import (
	"errors"
	"slices"
	"sync"
	"time"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	notRunDetail         = "The statement was not run."
	codeDuplicateKey     = "23505"
	slowRequestThreshold = time.Second
)

// Outcome is the result of a request as its caller sees it.
type Outcome int

// Outcomes of a request; OutcomeAnswered means that it succeeded and OutcomeUnknown that it may have run.
const (
	OutcomeAnswered     Outcome = iota
	OutcomeNotRun               // refused with notRunDetail
	OutcomeUnsent               // the connection failed before anything was sent
	OutcomeDuplicateKey         // the key of a write already existed, although only this write uses it
	OutcomeUnknown
)

// classify returns the outcome for the error that a client received.
func classify(err error) Outcome {
	var pgError *pgconn.PgError
	switch {
	case err == nil:
		return OutcomeAnswered
	case !errors.As(err, &pgError):
		if pgconn.SafeToRetry(err) {
			return OutcomeUnsent
		}
		return OutcomeUnknown
	case pgError.Detail == notRunDetail:
		return OutcomeNotRun
	case pgError.Code == codeDuplicateKey:
		return OutcomeDuplicateKey
	}
	return OutcomeUnknown
}

// isLostWrite reports whether the error says that data which the session has seen is lost.
func isLostWrite(err error) bool {
	var pgError *pgconn.PgError
	return errors.As(err, &pgError) && pgError.Code == spool.CodeLostWrite
}

// Write is a write that a worker sent, under a key that no other write uses.
type Write struct {
	Key          string
	Values       []string // more than one if written in a transaction
	Outcome      Outcome
	CompletedAt  time.Time // when the outcome was known
	LossReported bool      // the proxy reported to the session that data it has seen is lost
}

// History records requests and their outcomes; its fields may be read once the workers have ended.
type History struct {
	OutcomeCounts  map[Outcome]int
	Writes         []Write
	StaleReads     int            // reads that lacked the session's own write
	DuplicateReads int            // reads that returned a value more than once
	ForeignReads   int            // reads that returned a value of another write
	ErrorCounts    map[string]int // by the text of the error
	mutex          sync.Mutex
	ackTimes       []time.Time    // of acknowledged writes
	missingReads   map[string]int // by key, reads that lacked a write after a loss was reported to the session
	lossReports    int            // errors that reported a lost write
	slowRequests   int            // slower than slowRequestThreshold
	slowestRequest time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{OutcomeCounts: map[Outcome]int{}, missingReads: map[string]int{}, ErrorCounts: map[string]int{}}
}

// recordRequest records a request by its start time and error and returns its outcome.
func (history *History) recordRequest(start time.Time, err error) Outcome {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	outcome := classify(err)
	took := time.Since(start)
	history.slowestRequest = max(history.slowestRequest, took)
	if took > slowRequestThreshold {
		history.slowRequests++
	}
	history.OutcomeCounts[outcome]++
	if err != nil {
		history.ErrorCounts[summarizeError(err)]++
	}
	if isLostWrite(err) {
		history.lossReports++
	}
	return outcome
}

// RecordWrite records a write by its start time and the error that its caller received and returns its outcome.
func (history *History) RecordWrite(write Write, start time.Time, err error) Outcome {
	write.Outcome = history.recordRequest(start, err)
	write.CompletedAt = time.Now()
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.Writes = append(history.Writes, write)
	if write.Outcome == OutcomeAnswered {
		history.ackTimes = append(history.ackTimes, write.CompletedAt)
	}
	return write.Outcome
}

// checkRead checks the values that a session read back of its own acknowledged write.
func (history *History) checkRead(write Write, values []string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, value := range values {
		if !slices.Contains(write.Values, value) {
			history.ForeignReads++
			return
		}
	}
	switch {
	case slices.Equal(values, write.Values):
	case len(values) < len(write.Values) && write.LossReported:
		history.missingReads[write.Key]++
	case len(values) < len(write.Values):
		history.StaleReads++
	default:
		history.DuplicateReads++
	}
}

// CountMissingReads adds the reads that lacked a write after a reported loss to StaleReads if the write is in the log,
// that is if it was not lost.
func (history *History) CountMissingReads(log []regsrv.AppliedWrite) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for _, applied := range log {
		history.StaleReads += history.missingReads[applied.Key]
		delete(history.missingReads, applied.Key)
	}
}

// LongestWriteGap returns the longest time without an acknowledged write that overlaps the interval.
func (history *History) LongestWriteGap(from, until time.Time) time.Duration {
	history.mutex.Lock()
	acks := slices.Clone(history.ackTimes)
	history.mutex.Unlock()
	slices.SortFunc(acks, time.Time.Compare)
	longest := time.Duration(0)
	previous := from
	for _, ack := range append(acks, until) {
		if ack.After(from) && previous.Before(until) {
			longest = max(longest, ack.Sub(previous))
		}
		previous = ack
	}
	return longest
}

// AcknowledgedSince returns the number of writes acknowledged after the given time.
func (history *History) AcknowledgedSince(since time.Time) int {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	count := 0
	for _, ack := range history.ackTimes {
		if ack.After(since) {
			count++
		}
	}
	return count
}

// summarizeError returns the code and message of an SQL error; all other errors have one text, so that they are counted
// together.
func summarizeError(err error) string {
	var pgError *pgconn.PgError
	if errors.As(err, &pgError) {
		return pgError.Code + " " + pgError.Message
	}
	return "connection lost"
}
