package fleet

import (
	"time"

	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// copyPause is the time between requests for the same thing: two round trips between regions, after which the answer has
// made the next request needless.
const copyPause = 100 * time.Millisecond

// mayAsk tells if enough time has passed since something was last asked for, and notes that it is now.
func (peers *peers) mayAsk(last *spool.Instant, pause time.Duration, now spool.Instant) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if *last != 0 && now.Sub(*last) < pause {
		return false
	}
	*last = now
	return true
}

// requestCopy asks a proxy for the changes of the servers' entries that this one lacks.
func (peers *peers) requestCopy(from spool.VM, version spool.Version, now spool.Instant) {
	if !peers.mayAsk(&peers.copied, copyPause, now) {
		return
	}
	request := &wire.CopyRequest{After: uint64(version)}
	peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_CopyRequest{CopyRequest: request}})
}

// sendCopy tells a proxy the changes that it lacks.
func (peers *peers) sendCopy(to spool.VM, request *wire.CopyRequest) {
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

// applyCopy takes over the changes that another proxy told.
func (peers *peers) applyCopy(answer *wire.CopyAnswer) {
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
