package elect

import "corianderspool.example/spool/pkg/spool"

// Leadership is what a proxy has seen of a server since it began to take it for the primary. It says nothing about another server,
// or about the same one when it leads again.
type Leadership struct {
	Server      spool.Server  // empty if no primary is known
	Since       spool.Instant // when the server began to be taken for the primary
	LastContact spool.Instant // when it last answered as primary; zero if it has not

	unanswered      int           // consecutive commits that were not answered in time
	firstUnanswered spool.Instant // when the first of them was sent
	lastUnanswered  spool.Instant // when the last of them was sent
	lastAnswered    spool.Instant // when a commit was last answered; zero if none was
}

// covers reports whether a commit was sent to the server of this leadership, and not in an earlier one.
func (leadership *Leadership) covers(server spool.Server, sent spool.Instant) bool {
	return server != "" && server == leadership.Server && sent >= leadership.Since
}

// RecordAnswer records that a server answered a commit, and reports whether the commit belongs to this leadership.
func (leadership *Leadership) RecordAnswer(server spool.Server, sent, now spool.Instant) bool {
	if !leadership.covers(server, sent) {
		return false
	}
	leadership.unanswered, leadership.lastAnswered = 0, now
	return true
}

// RecordTimeout records that a server did not answer a commit in time, and reports whether that counts: the commit belongs to this
// leadership and was sent after the newest answer.
func (leadership *Leadership) RecordTimeout(server spool.Server, sent spool.Instant) bool {
	if !leadership.covers(server, sent) || sent < leadership.lastAnswered {
		return false
	}
	if leadership.unanswered == 0 || sent.Sub(leadership.lastUnanswered) > UnansweredTTL {
		leadership.unanswered, leadership.firstUnanswered = 0, sent
	}
	leadership.lastUnanswered = max(leadership.lastUnanswered, sent)
	leadership.unanswered++
	return true
}

// CommitStats returns the outcomes of the recent commits that were sent to a server; those of any other server are not told.
func (leadership *Leadership) CommitStats(server spool.Server, now spool.Instant) CommitStats {
	var stats CommitStats
	if server != leadership.Server {
		return stats
	}
	if leadership.unanswered > 0 && now.Sub(leadership.lastUnanswered) < UnansweredTTL {
		stats = CommitStats{
			Unanswered: leadership.unanswered, SinceFirst: now.Sub(leadership.firstUnanswered),
			SinceLast: max(1, now.Sub(leadership.lastUnanswered)),
		}
	}
	if leadership.lastAnswered != 0 {
		stats.SinceAnswer = max(1, now.Sub(leadership.lastAnswered))
	}
	return stats
}
