package node

import (
	"sync"

	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

// sessions holds the connected sessions, which are ended when their key is withdrawn.
type sessions struct {
	mutex   sync.Mutex
	entries map[*attachedSession]struct{}
}

type attachedSession struct {
	login       spool.Login
	sessionEnds chan spool.SessionEnd
}

func (sessions *sessions) add(login spool.Login) *attachedSession {
	entry := &attachedSession{login: login, sessionEnds: make(chan spool.SessionEnd, 1)}
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	if sessions.entries == nil {
		sessions.entries = map[*attachedSession]struct{}{}
	}
	sessions.entries[entry] = struct{}{}
	return entry
}

func (sessions *sessions) remove(entry *attachedSession) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	delete(sessions.entries, entry)
}

// endRefused ends the sessions whose login a snapshot no longer allows.
func (sessions *sessions) endRefused(snapshot *policy.Snapshot) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	for entry := range sessions.entries {
		entry.endIfRefused(snapshot)
	}
}

// endIfRefused ends the session if a snapshot no longer allows its login.
func (attachedSession *attachedSession) endIfRefused(snapshot *policy.Snapshot) {
	refusal := snapshot.CheckLogin(attachedSession.login)
	if refusal == nil {
		return
	}
	select {
	case attachedSession.sessionEnds <- spool.SessionEnd{AtOnce: true, Refusal: refusal}:
	default:
	}
}
