package fleet

import (
	"context"
	"sync"
	"time"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// maxWatermarkAge is the age above which a proxy probes the primary before it sends a watermark to another proxy. It is a
// tenth of the staleness that routes allow, so that few reads have to be fresher than necessary.
const maxWatermarkAge = 150 * time.Millisecond

// watermarks fetches the watermarks of groups from one proxy near each primary; it implements pool.WatermarkSource.
type watermarks struct {
	proxy        *Proxy
	mutex        sync.Mutex
	lastSequence uint64 // number of the newest request
	pending      map[uint64]pendingRequest
}

// pendingRequest is a request in flight.
type pendingRequest struct {
	group spool.Group
	sent  spool.Instant
	done  chan struct{}
}

func newWatermarks(proxy *Proxy) *watermarks {
	return &watermarks{proxy: proxy, pending: map[uint64]pendingRequest{}}
}

// Refresh requests a group's watermark from the top-ranked proxy near its primary, or from the primary itself if no other
// proxy ranks higher than this one.
func (watermarks *watermarks) Refresh(ctx context.Context, group spool.Group) {
	primary, domain := watermarks.proxy.pool.Primary(group)
	if primary == "" {
		return
	}
	sources := watermarks.proxy.members.topRanked(string(group), domain, watermarks.proxy.borrower.suspected)
	if len(sources) == 0 {
		watermarks.probePrimary(group, primary)
		return
	}
	watermarks.requestFrom(ctx, sources[0], group)
}

// probePrimary probes the primary; the pool records the position that it answers with.
func (watermarks *watermarks) probePrimary(group spool.Group, primary spool.Server) {
	_ = watermarks.proxy.pool.ProbePrimary(group, primary, watermarks.proxy.operator()) // the pool logs the error
}

// requestFrom sends a request to a proxy and waits for the answer.
func (watermarks *watermarks) requestFrom(ctx context.Context, from spool.VM, group spool.Group) {
	pending := pendingRequest{group: group, sent: watermarks.proxy.timers.Now(), done: make(chan struct{})}
	watermarks.mutex.Lock()
	watermarks.lastSequence++
	sequence := watermarks.lastSequence
	watermarks.pending[sequence] = pending
	watermarks.mutex.Unlock()
	request := &wire.MarkRequest{Group: string(group), Sequence: sequence}
	watermarks.proxy.peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_MarkRequest{MarkRequest: request}})
	select {
	case <-pending.done:
	case <-ctx.Done():
		watermarks.proxy.borrower.suspect(from)
	}
	watermarks.mutex.Lock()
	delete(watermarks.pending, sequence)
	watermarks.mutex.Unlock()
}

// sendAnswer sends the newest watermark to a proxy; it probes the primary first if the known one is too old.
func (watermarks *watermarks) sendAnswer(from spool.VM, request *wire.MarkRequest) {
	pool, group := watermarks.proxy.pool, spool.Group(request.Group)
	newest := pool.NewestWatermark(group)
	if watermarks.proxy.timers.Now().Sub(newest.SentAt) > maxWatermarkAge {
		if primary, _ := pool.Primary(group); primary != "" {
			watermarks.probePrimary(group, primary)
			newest = pool.NewestWatermark(group)
		}
	}
	answer := &wire.MarkAnswer{Sequence: request.Sequence}
	if newest.SentAt != 0 {
		answer.Term, answer.Number = uint64(newest.Position.Term), uint64(newest.Position.Number)
		answer.AgeNanos = int64(watermarks.proxy.timers.Now().Sub(newest.SentAt))
	}
	watermarks.proxy.peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_MarkAnswer{MarkAnswer: answer}})
}

// applyAnswer records an answer. Its age counts from when the request was sent, so that transit time never makes it look
// fresher.
func (watermarks *watermarks) applyAnswer(answer *wire.MarkAnswer) {
	watermarks.mutex.Lock()
	pending, known := watermarks.pending[answer.Sequence]
	delete(watermarks.pending, answer.Sequence)
	watermarks.mutex.Unlock()
	if !known {
		return // the request has ended
	}
	if answer.Term != 0 {
		watermarks.proxy.pool.RecordWatermark(pending.group, fresh.Watermark{
			Position: spool.LogPosition{Term: spool.Term(answer.Term), Number: spool.Position(answer.Number)},
			SentAt:   pending.sent.Add(-time.Duration(answer.AgeNanos)),
		})
	}
	close(pending.done)
}
