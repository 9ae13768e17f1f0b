package fleet

import (
	"time"

	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// requestInterval is the minimum time between requests for the same data: two round trips between regions, within which the
// answer makes another request unnecessary.
const requestInterval = 100 * time.Millisecond

// allowRequest reports whether the interval has passed since the last request, and if so sets last to now.
func (peers *peers) allowRequest(last *spool.Instant, interval time.Duration, now spool.Instant) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if *last != 0 && now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// requestDelta asks a proxy for the changes to the server entries after a version.
func (peers *peers) requestDelta(from spool.VM, version spool.Version, now spool.Instant) {
	if !peers.beginRequest(&peers.deltaRequest, now) {
		return
	}
	request := &wire.CopyRequest{After: uint64(version)}
	peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_CopyRequest{CopyRequest: request}})
}

// sendDelta sends a proxy the changes after the version that it has.
func (peers *peers) sendDelta(to spool.VM, request *wire.CopyRequest) {
	delta := peers.proxy.servers.DeltaSince(spool.Version(request.After))
	answer := &wire.CopyAnswer{
		After: request.After, Version: uint64(delta.Version), Names: delta.Names,
		FailedAgeNanos: int64(delta.SinceFailure),
	}
	for _, object := range delta.Objects {
		answer.Objects = append(answer.Objects, encodeObject(object))
	}
	peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_CopyAnswer{CopyAnswer: answer}})
}

// applyDelta applies the changes that another proxy sent.
func (peers *peers) applyDelta(answer *wire.CopyAnswer) {
	delta := mirror.Delta{
		After: spool.Version(answer.After), Version: spool.Version(answer.Version), Names: answer.Names,
		SinceFailure: time.Duration(answer.FailedAgeNanos),
	}
	for _, object := range answer.Objects {
		delta.Objects = append(delta.Objects, decodeObject(object))
	}
	peers.proxy.servers.Apply(delta)
}

func encodeObject(object spool.Object) *wire.ObjectCopy {
	return &wire.ObjectCopy{Kind: object.Kind, Name: object.Name, Version: uint64(object.Version), Body: object.Body}
}

func decodeObject(object *wire.ObjectCopy) spool.Object {
	return spool.Object{Kind: object.Kind, Name: object.Name, Version: spool.Version(object.Version), Body: object.Body}
}
