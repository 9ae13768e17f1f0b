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
	maxAge     = 1500 * time.Millisecond
	rateWindow = 5 * time.Second // quota-window-s of the pages
	// rateMost is what the pages allow in a window: a tenth and 20 operations beyond rate and burst.
	rateMost = (teamRate*5+teamRate)*11/10 + 20
)

// fate is what a caller was told of a write.
type fate int

const (
	unknown fate = iota
	acknowledged
	promised // that nothing is kept
)

// promises are the codes that say that nothing is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// write is a value that a caller wrote.
type write struct {
	fate fate
	at   time.Time // of the answer
}

// ledger remembers what callers were told and collects broken promises.
type ledger struct {
	mutex  sync.Mutex
	writes map[string]*write
	acked  map[string][]string // values of each item, in the order of their acknowledgement
	reads  []read
	broken []string
	served int
}

// read is what a read returned, and the newest value that was acknowledged before it.
type read struct {
	reader, route, value, required string
}

func newLedger() *ledger {
	return &ledger{writes: map[string]*write{}, acked: map[string][]string{}}
}

func (ledger *ledger) report(format string, arguments ...any) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.broken = append(ledger.broken, fmt.Sprintf(format, arguments...))
}

func (ledger *ledger) sent(value string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.writes[value] = &write{}
}

// told notes the final code of the statement or COMMIT that decided a write.
func (ledger *ledger) told(item, value, code string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	write := ledger.writes[value]
	write.at = time.Now()
	switch {
	case code == "DONE":
		write.fate = acknowledged
		ledger.acked[item] = append(ledger.acked[item], value)
		ledger.served++
	case promises[code]:
		write.fate = promised
	}
}

// required returns the newest value of an item acknowledged before an instant, or none.
func (ledger *ledger) required(item string, before time.Time) string {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	newest := ""
	for _, value := range ledger.acked[item] {
		if ledger.writes[value].at.Before(before) {
			newest = value
		}
	}
	return newest
}

// saw notes a read, which the audit compares with the order of the log: a write whose outcome its caller does not know
// may take effect after later ones.
func (ledger *ledger) saw(read read) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.reads = append(ledger.reads, read)
}

// number returns the number behind the dash of a value, or zero.
func number(value string) int {
	_, digits, _ := strings.Cut(value, "-")
	parsed, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return parsed
}

// audit compares what callers were told with what the servers hold.
func (ledger *ledger) audit(group *linesrv.Group) {
	counts, place := map[string]int{}, map[string]int{"none": -1}
	for i, value := range group.All() {
		counts[value]++
		place[value] = i
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for value, write := range ledger.writes {
		switch {
		case counts[value] > 1:
			ledger.broken = append(ledger.broken, fmt.Sprintf("%s took effect %d times", value, counts[value]))
		case write.fate == acknowledged && counts[value] == 0:
			ledger.broken = append(ledger.broken, value+" was acknowledged and is lost")
		case write.fate == promised && counts[value] > 0:
			ledger.broken = append(ledger.broken, value+" was promised not to be kept and is")
		}
	}
	for _, read := range ledger.reads {
		seen, known := place[read.value]
		if required, held := place[read.required]; known && held && seen < required {
			ledger.broken = append(ledger.broken, fmt.Sprintf("%s read %q on route %s, acknowledged before was %q",
				read.reader, read.value, read.route, read.required))
		}
	}
	ledger.auditRuns(group.Runs())
}

// auditRuns checks teams, values and rates of what the servers ran.
func (ledger *ledger) auditRuns(runs []linesrv.Run) {
	var single []time.Time
	for _, run := range runs {
		if run.Values["team"] != "" && run.Values["team"] != run.Team {
			ledger.broken = append(ledger.broken, fmt.Sprintf("%s of team %s ran with values %v", run.ID, run.Team, run.Values))
		}
		if run.Team == "brown" {
			single = append(single, run.At)
		}
	}
	first := 0
	for i, at := range single {
		for at.Sub(single[first]) > rateWindow {
			first++
		}
		if count := i - first + 1; count > rateMost {
			ledger.broken = append(ledger.broken, fmt.Sprintf("%d operations of a team in %v, allowed are %d", count, rateWindow, rateMost))
			return
		}
	}
}
