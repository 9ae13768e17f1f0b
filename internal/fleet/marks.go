package fleet

import (
	"context"
	"sync"
	"time"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// markAge is how old a dated position may be that a proxy passes on; an older one costs a question to the primary. With a
// tenth of the age that routes allow, few reads are asked to be fresher than they need to.
const markAge = 150 * time.Millisecond

// marks gets dated positions of groups from one proxy near each primary; it implements pool.Marker.
type marks struct {
	proxy   *Proxy
	mutex   sync.Mutex
	last    uint64 // number of the newest request
	pending map[uint64]pendingMark
}

// pendingMark is a request on its way.
type pendingMark struct {
	group spool.Group
	sent  spool.Instant
	done  chan struct{}
}

func newMarks(proxy *Proxy) *marks {
	return &marks{proxy: proxy, pending: map[uint64]pendingMark{}}
}

// Refresh asks the proxy that knows a group's positions best, or the primary itself.
func (marks *marks) Refresh(ctx context.Context, group spool.Group) {
	primary, domain := marks.proxy.pool.Primary(group)
	if primary == "" {
		return
	}
	homes := marks.proxy.members.homes(string(group), domain, marks.proxy.loans.suspected)
	if len(homes) == 0 {
		marks.askPrimary(group, primary)
		return
	}
	marks.ask(ctx, homes[0], group)
}

// askPrimary asks the primary, which notes its position in the pool.
func (marks *marks) askPrimary(group spool.Group, primary spool.Server) {
	_ = marks.proxy.pool.ProbePrimary(group, primary, marks.proxy.operator()) // the pool logs why a server gave no answer
}

// ask sends a request and waits for the answer.
func (marks *marks) ask(ctx context.Context, from spool.VM, group spool.Group) {
	pending := pendingMark{group: group, sent: marks.proxy.timers.Now(), done: make(chan struct{})}
	marks.mutex.Lock()
	marks.last++
	sequence := marks.last
	marks.pending[sequence] = pending
	marks.mutex.Unlock()
	request := &wire.MarkRequest{Group: string(group), Sequence: sequence}
	marks.proxy.peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_MarkRequest{MarkRequest: request}})
	select {
	case <-pending.done:
	case <-ctx.Done():
		marks.proxy.loans.suspect(from)
	}
	marks.mutex.Lock()
	delete(marks.pending, sequence)
	marks.mutex.Unlock()
}

// answer tells a proxy the newest position, which the primary is asked for if it is not fresh.
func (marks *marks) answer(from spool.VM, request *wire.MarkRequest) {
	pool, group := marks.proxy.pool, spool.Group(request.Group)
	newest := pool.LatestWatermark(group)
	if marks.proxy.timers.Now().Sub(newest.SentAt) > markAge {
		if primary, _ := pool.Primary(group); primary != "" {
			marks.askPrimary(group, primary)
			newest = pool.LatestWatermark(group)
		}
	}
	answer := &wire.MarkAnswer{Sequence: request.Sequence}
	if newest.SentAt != 0 {
		answer.Term, answer.Number = uint64(newest.Position.Term), uint64(newest.Position.Number)
		answer.AgeNanos = int64(marks.proxy.timers.Now().Sub(newest.SentAt))
	}
	marks.proxy.peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_MarkAnswer{MarkAnswer: answer}})
}

// receive notes an answer, dated by when the request was sent so that its way never makes it look younger.
func (marks *marks) receive(answer *wire.MarkAnswer) {
	marks.mutex.Lock()
	pending, known := marks.pending[answer.Sequence]
	delete(marks.pending, answer.Sequence)
	marks.mutex.Unlock()
	if !known {
		return // it came too late
	}
	if answer.Term != 0 {
		marks.proxy.pool.RecordWatermark(pending.group, fresh.Watermark{
			Position: spool.LogPosition{Term: spool.Term(answer.Term), Number: spool.Position(answer.Number)},
			SentAt:   pending.sent.Add(-time.Duration(answer.AgeNanos)),
		})
	}
	close(pending.done)
}
