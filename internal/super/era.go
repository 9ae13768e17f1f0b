package super

import (
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// tokenEraShift is the position of the era in a fencing token; the counter below it starts anew with each era.
const tokenEraShift = 32

// firstToken returns the lower bound of the tokens of an era; the first token follows it.
func firstToken(era spool.Era) uint64 { return uint64(era) << tokenEraShift }

// eraOfToken returns the era in which a token was issued; zero for a token from before the store announced eras.
func eraOfToken(token uint64) spool.Era { return spool.Era(token >> tokenEraShift) }

// eraStart records when this process first saw the newest era of the store.
type eraStart struct {
	mutex sync.Mutex
	era   spool.Era
	at    time.Time
}

// observe records an era and reports whether it was first seen within recentTokenAge.
func (start *eraStart) observe(era spool.Era, now time.Time) (recent bool) {
	start.mutex.Lock()
	defer start.mutex.Unlock()
	if era > start.era {
		start.era, start.at = era, now
	}
	return start.era > 0 && now.Sub(start.at) < recentTokenAge
}

// EraChanged records that the store began an era, so that the loss of another holder's recent token is taken into account for
// recentTokenAge.
func (fencingTokens *FencingTokens) EraChanged(era spool.Era) {
	fencingTokens.eraStart.observe(era, time.Now())
}

// IsCurrent reports whether a token may be used: it is not of an older era than the newest one known, in which other tokens
// may have been issued since.
func (fencingTokens *FencingTokens) IsCurrent(token uint64) bool {
	return eraOfToken(token) >= fencingTokens.store.Era()
}
