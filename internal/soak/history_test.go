package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"corianderspool.example/spool/internal/fake/linesrv"
)

const (
	maxStaleness = 1500 * time.Millisecond
	rateWindow   = 5 * time.Second // documented bound quota-window-s
	// maxOperationsPerWindow is the documented limit in a window: rate and burst, plus a tenth and 20 operations.
	maxOperationsPerWindow = (teamRate*5+teamRate)*11/10 + 20
)

// outcome is what a caller learned about a write.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeNoEffect // answered with a code of noEffectCodes
)

// noEffectCodes are the codes that guarantee that the statement had no effect.
var noEffectCodes = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// writeRecord is the write of one value.
type writeRecord struct {
	outcome  outcome
	answered time.Time // time of the final answer
}

// history records the answers to callers and collects violations of the guarantees.
type history struct {
	mutex              sync.Mutex
	writes             map[string]*writeRecord
	acknowledged       map[string][]string // values by item, in order of acknowledgement
	reads              []readRecord
	violations         []string
	acknowledgedWrites int
}

// readRecord is the value that a read returned and the oldest value that it was allowed to return.
type readRecord struct {
	reader, route, value, required string
}

func newHistory() *history {
	return &history{writes: map[string]*writeRecord{}, acknowledged: map[string][]string{}}
}

func (history *history) addViolation(format string, arguments ...any) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.violations = append(history.violations, fmt.Sprintf(format, arguments...))
}

func (history *history) recordSent(value string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.writes[value] = &writeRecord{}
}

// recordOutcome records the final code of the statement or COMMIT that decided a write.
func (history *history) recordOutcome(item, value, code string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	record := history.writes[value]
	record.answered = time.Now()
	switch {
	case code == "DONE":
		record.outcome = outcomeAcknowledged
		history.acknowledged[item] = append(history.acknowledged[item], value)
		history.acknowledgedWrites++
	case noEffectCodes[code]:
		record.outcome = outcomeNoEffect
	}
}

// newestAcknowledged returns the newest value of an item acknowledged before a time, or "".
func (history *history) newestAcknowledged(item string, before time.Time) string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	newest := ""
	for _, value := range history.acknowledged[item] {
		if history.writes[value].answered.Before(before) {
			newest = value
		}
	}
	return newest
}

// recordRead records a read. verify compares it by log position, since a write with an unknown outcome may take effect
// after later writes.
func (history *history) recordRead(record readRecord) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.reads = append(history.reads, record)
}

// valueNumber returns the number after the dash of a value, or zero.
func valueNumber(value string) int {
	_, digits, _ := strings.Cut(value, "-")
	parsed, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return parsed
}

// verify compares the answers to callers with the log and the executions of the servers.
func (history *history) verify(group *linesrv.Group) {
	counts, position := map[string]int{}, map[string]int{"none": -1}
	for i, value := range group.AllWrittenValues() {
		counts[value]++
		position[value] = i
	}
	history.mutex.Lock()
	defer history.mutex.Unlock()
	for value, record := range history.writes {
		switch {
		case counts[value] > 1:
			history.violations = append(history.violations, fmt.Sprintf("%s took effect %d times", value, counts[value]))
		case record.outcome == outcomeAcknowledged && counts[value] == 0:
			history.violations = append(history.violations, value+" was acknowledged and is missing in the log")
		case record.outcome == outcomeNoEffect && counts[value] > 0:
			history.violations = append(history.violations, value+" was refused as not executed, but is in the log")
		}
	}
	for _, record := range history.reads {
		seen, known := position[record.value]
		if required, requiredKnown := position[record.required]; known && requiredKnown && seen < required {
			history.violations = append(history.violations, fmt.Sprintf(
				"stale read: %s read %q on route %s, but %q was acknowledged before",
				record.reader, record.value, record.route, record.required))
		}
	}
	history.verifyExecutions(group.Executions())
}

// verifyExecutions checks the teams, session values and rates of the executed statements.
func (history *history) verifyExecutions(executions []linesrv.Execution) {
	var times []time.Time
	for _, execution := range executions {
		if execution.SessionValues["team"] != "" && execution.SessionValues["team"] != execution.Team {
			history.violations = append(history.violations, fmt.Sprintf(
				"%s of team %s ran with session values %v of another team", execution.ID, execution.Team, execution.SessionValues))
		}
		if execution.Team == "brown" {
			times = append(times, execution.At)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > rateWindow {
			first++
		}
		if count := i - first + 1; count > maxOperationsPerWindow {
			history.violations = append(history.violations, fmt.Sprintf(
				"team brown ran %d operations in %v, allowed are %d", count, rateWindow, maxOperationsPerWindow))
			return
		}
	}
}
