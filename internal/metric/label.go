package metric

import (
	"sync"

	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultNameLimit = 256
	otherName        = "other"
)

// names admits a limited number of names as values of a label; further ones share the value "other".
type names struct {
	limit int
	mutex sync.RWMutex
	known map[string]struct{}
}

func newNames(limit int) *names {
	return &names{limit: limit, known: map[string]struct{}{}}
}

func (names *names) label(name string) string {
	names.mutex.RLock()
	_, known := names.known[name]
	names.mutex.RUnlock()
	if known {
		return name
	}
	names.mutex.Lock()
	defer names.mutex.Unlock()
	if _, known := names.known[name]; !known && len(names.known) >= names.limit {
		return otherName
	}
	names.known[name] = struct{}{}
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
		return otherName
	}
	return name
}
