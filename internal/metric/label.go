package metric

import (
	"sync"

	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultLabelLimit = 256
	otherLabel        = "other"
)

// labelNames limits the number of values of a label; further names share the value "other".
type labelNames struct {
	limit int
	mutex sync.RWMutex
	known map[string]struct{}
}

func newLabelNames(limit int) *labelNames {
	return &labelNames{limit: limit, known: map[string]struct{}{}}
}

func (labelNames *labelNames) label(name string) string {
	labelNames.mutex.RLock()
	_, known := labelNames.known[name]
	labelNames.mutex.RUnlock()
	if known {
		return name
	}
	labelNames.mutex.Lock()
	defer labelNames.mutex.Unlock()
	if _, known := labelNames.known[name]; !known && len(labelNames.known) >= labelNames.limit {
		return otherLabel
	}
	labelNames.known[name] = struct{}{}
	return name
}

var verdictNames = map[spool.Verdict]string{
	spool.VerdictAnswered: "answered",
	spool.VerdictNotRun:   "not_run",
	spool.VerdictUnknown:  "unknown",
	spool.VerdictLost:     "lost",
}

func verdictName(verdict spool.Verdict) string {
	name, known := verdictNames[verdict]
	if !known {
		return otherLabel
	}
	return name
}
