package slots

import "corianderspool.example/spool/pkg/spool"

// Queue hands out the slots of one group's servers.
type Queue struct{}

// New returns a queue without servers.
func New(options ...Option) *Queue { return &Queue{} }

// Option changes a queue's settings.
type Option func(queue *Queue)

// SetServers replaces the servers' limits and returns the grants that become possible; indices of servers never move.
func (queue *Queue) SetServers(limits []Limit, now spool.Instant) []Grant { return nil }

// Ask grants the item a slot, queues it or refuses it.
func (queue *Queue) Ask(item Item, now spool.Instant) Answer { return Answer{Verdict: Refused} }

// Release gives a team's slot back and returns the grants that become possible, valid until the next call.
func (queue *Queue) Release(server int, team spool.Team, now spool.Instant) []Grant { return nil }

// Expire refuses the queued items whose deadline has passed or whose expected wait passes it.
func (queue *Queue) Expire(now spool.Instant) []Refusal { return nil }

// Cancel drops a queued item and reports whether it was still queued.
func (queue *Queue) Cancel(id uint64) bool { return false }

// Connect reserves one of a server's connections and reports whether the limit allows it.
func (queue *Queue) Connect(server int) bool { return false }

// Disconnect gives a reserved connection back.
func (queue *Queue) Disconnect(server int) {}
