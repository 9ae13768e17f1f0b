package metric

import (
	"sync"

	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultLabelLimit = 256
	otherLabel        = "other"
)

// labelValues limits the number of values of a label; further ones share the value "other".
type labelValues struct {
	limit int
	mutex sync.RWMutex
	known map[string]struct{}
}

func newLabelValues(limit int) *labelValues {
	return &labelValues{limit: limit, known: map[string]struct{}{}}
}

func (labelValues *labelValues) label(value string) string {
	labelValues.mutex.RLock()
	_, known := labelValues.known[value]
	labelValues.mutex.RUnlock()
	if known {
		return value
	}
	labelValues.mutex.Lock()
	defer labelValues.mutex.Unlock()
	if _, known := labelValues.known[value]; !known && len(labelValues.known) >= labelValues.limit {
		return otherLabel
	}
	labelValues.known[value] = struct{}{}
	return value
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
