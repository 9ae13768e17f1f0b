package node

import (
	"sync"

	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

// sessions are the connected callers, who are told when their key is withdrawn.
type sessions struct {
	mutex   sync.Mutex
	entries map[*attached]struct{}
}

type attached struct {
	login   spool.Login
	endings chan spool.SessionEnd
}

func (sessions *sessions) add(login spool.Login) *attached {
	entry := &attached{login: login, endings: make(chan spool.SessionEnd, 1)}
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	if sessions.entries == nil {
		sessions.entries = map[*attached]struct{}{}
	}
	sessions.entries[entry] = struct{}{}
	return entry
}

func (sessions *sessions) remove(entry *attached) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	delete(sessions.entries, entry)
}

// check ends the sessions that a snapshot no longer allows.
func (sessions *sessions) check(snapshot *policy.Snapshot) {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	for entry := range sessions.entries {
		entry.check(snapshot)
	}
}

// check ends the session if a snapshot no longer allows it.
func (attached *attached) check(snapshot *policy.Snapshot) {
	refusal := snapshot.CheckLogin(attached.login)
	if refusal == nil {
		return
	}
	select {
	case attached.endings <- spool.SessionEnd{AtOnce: true, Refusal: refusal}:
	default:
	}
}
