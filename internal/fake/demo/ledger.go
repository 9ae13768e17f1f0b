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
	notRunDetail     = "The statement was not run."
	codeDuplicateKey = "23505"
	slowRequest      = time.Second
)

// Outcome is what a caller learned of its request.
type Outcome int

// The outcomes of a request.
const (
	Answered  Outcome = iota
	NotRun            // refused, and told that it was not run
	Unsent            // the connection was gone before anything was sent
	Duplicate         // a write with a key of its own found that key taken
	Unknown
)

// classify tells the outcome from the error that a client got.
func classify(err error) Outcome {
	var pgError *pgconn.PgError
	switch {
	case err == nil:
		return Answered
	case !errors.As(err, &pgError):
		if pgconn.SafeToRetry(err) {
			return Unsent
		}
		return Unknown
	case pgError.Detail == notRunDetail:
		return NotRun
	case pgError.Code == codeDuplicateKey:
		return Duplicate
	}
	return Unknown
}

// lostWrite tells if the error says that data which the session has seen is lost.
func lostWrite(err error) bool {
	var pgError *pgconn.PgError
	return errors.As(err, &pgError) && pgError.Code == spool.CodeLostWrite
}

// Write is a write that a worker sent, with a key of its own.
type Write struct {
	Key     string
	Values  []string // more than one when they were written in a transaction
	Outcome Outcome
	At      time.Time // of the outcome
	Told    bool      // the session was told that something it has seen is lost
}

// Ledger keeps what the callers were told; read its fields once the workers have ended.
type Ledger struct {
	Counts   map[Outcome]int
	Writes   []Write
	Stale    int            // reads that did not show the session's own write
	Repeated int            // reads that showed a value more than once
	Mixed    int            // reads that showed what another request wrote
	Problems map[string]int // errors by their text
	mutex    sync.Mutex
	acks     []time.Time    // of acknowledged writes
	missing  map[string]int // reads that lacked a write after the session was told of a loss, by key
	lost     int            // sessions that were told of a lost write
	slow     int            // requests slower than slowRequest
	slowest  time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{Counts: map[Outcome]int{}, missing: map[string]int{}, Problems: map[string]int{}}
}

// request counts a request that began at an instant and returns its outcome.
func (ledger *Ledger) request(begun time.Time, err error) Outcome {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	outcome := classify(err)
	took := time.Since(begun)
	ledger.slowest = max(ledger.slowest, took)
	if took > slowRequest {
		ledger.slow++
	}
	ledger.Counts[outcome]++
	if err != nil {
		ledger.Problems[describe(err)]++
	}
	if lostWrite(err) {
		ledger.lost++
	}
	return outcome
}

// Write notes a write that began at an instant and the error that its caller got; it returns the outcome.
func (ledger *Ledger) Write(write Write, begun time.Time, err error) Outcome {
	write.Outcome = ledger.request(begun, err)
	write.At = time.Now()
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.Writes = append(ledger.Writes, write)
	if write.Outcome == Answered {
		ledger.acks = append(ledger.acks, write.At)
	}
	return write.Outcome
}

// read judges the values that a session read of its own acknowledged write.
func (ledger *Ledger) read(write Write, values []string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, value := range values {
		if !slices.Contains(write.Values, value) {
			ledger.Mixed++
			return
		}
	}
	switch {
	case slices.Equal(values, write.Values):
	case len(values) < len(write.Values) && write.Told:
		ledger.missing[write.Key]++
	case len(values) < len(write.Values):
		ledger.Stale++
	default:
		ledger.Repeated++
	}
}

// Settle counts reads that lacked a write as stale if the write is in the log, so that it was not lost.
func (ledger *Ledger) Settle(log []regsrv.Applied) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, applied := range log {
		ledger.Stale += ledger.missing[applied.Key]
		delete(ledger.missing, applied.Key)
	}
}

// Gap returns the longest time without an acknowledged write that overlaps the span.
func (ledger *Ledger) Gap(from, till time.Time) time.Duration {
	ledger.mutex.Lock()
	acks := slices.Clone(ledger.acks)
	ledger.mutex.Unlock()
	slices.SortFunc(acks, time.Time.Compare)
	longest := time.Duration(0)
	previous := from
	for _, ack := range append(acks, till) {
		if ack.After(from) && previous.Before(till) {
			longest = max(longest, ack.Sub(previous))
		}
		previous = ack
	}
	return longest
}

// AnsweredSince counts the writes acknowledged since an instant.
func (ledger *Ledger) AnsweredSince(since time.Time) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	count := 0
	for _, ack := range ledger.acks {
		if ack.After(since) {
			count++
		}
	}
	return count
}

// describe shortens an error for the summary.
func describe(err error) string {
	var pgError *pgconn.PgError
	if errors.As(err, &pgError) {
		return pgError.Code + " " + pgError.Message
	}
	return "connection lost"
}
