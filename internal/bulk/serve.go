package bulk

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/spread"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	pieceBytes = 16 << 10 // of compressed data in a frame; the deadline is checked before each
	maxPacked  = 4        // compressed forms of the newest version that are kept
	// slowLink is how much slower than this proxy's link a receiver may be. A receiver that confirms nothing for longer has
	// stopped, and its place goes to another one.
	slowLink = 8
)

// Serve answers a request of another proxy and sends it the newest version, unless too many transfers are in progress.
func (distributor *Distributor) Serve(from spool.VM, stream *lend.Stream, request *wire.BulkRequest) {
	newest, base := distributor.find(request)
	if newest.Version == 0 {
		distributor.observer.Served(from, "nothing_newer", 0)
		_ = writeAnswer(stream, &wire.BulkAnswer{}) // a requester that is gone needs none
		return
	}
	packed, err := distributor.pack(newest, base)
	if err != nil {
		distributor.observer.Served(from, "failed", 0)
		event.Log(distributor.logger, event.ConfigNotPacked, zap.String("Peer", string(from)),
			zap.Uint64("Version", newest.Version), event.Cause(err))
		return
	}
	domain, _ := distributor.peers.Locate(from)
	distributor.mutex.Lock()
	decision := distributor.server.Admit(spread.Requester{VM: from, Domain: domain}, len(packed))
	distributor.mutex.Unlock()
	if !decision.Granted {
		distributor.observer.Served(from, "busy", 0)
		answer := &wire.BulkAnswer{Busy: true, RetryNanos: int64(decision.Retry)}
		for _, source := range decision.Sources {
			answer.Sources = append(answer.Sources, string(source))
		}
		_ = writeAnswer(stream, answer) // a requester that is gone needs none
		return
	}
	completed := distributor.send(stream, newest, base, packed)
	distributor.mutex.Lock()
	distributor.server.Finish(decision.ID, completed)
	distributor.mutex.Unlock()
	outcome := "broken"
	if completed {
		outcome = "completed"
	}
	distributor.observer.Served(from, outcome, len(packed))
}

// find returns the newest version if it is newer than the requester's, and that one if it is known.
func (distributor *Distributor) find(request *wire.BulkRequest) (newest, base spread.Copy) {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	newest = distributor.library.Newest()
	if request.Kind != distributor.kind || request.Name != distributor.name || newest.Version <= request.HeldVersion {
		return spread.Copy{}, spread.Copy{}
	}
	base, _ = distributor.library.Find(request.HeldVersion, request.HeldHash)
	return newest, base
}

// pack returns the compressed form of a version for those who hold the base; it is computed once for each pair.
func (distributor *Distributor) pack(newest, base spread.Copy) ([]byte, error) {
	distributor.packing.Lock()
	defer distributor.packing.Unlock()
	if distributor.packedFor != newest.Hash {
		distributor.packed, distributor.packedOrder, distributor.packedFor = map[uint64][]byte{}, nil, newest.Hash
	}
	if packed, known := distributor.packed[base.Hash]; known {
		return packed, nil
	}
	packed, err := pack(newest.Stored, newest.Body, base.Body)
	if err != nil {
		return nil, err
	}
	distributor.packed[base.Hash] = packed
	distributor.packedOrder = append(distributor.packedOrder, base.Hash)
	if len(distributor.packedOrder) > maxPacked {
		delete(distributor.packed, distributor.packedOrder[0])
		distributor.packedOrder = slices.Delete(distributor.packedOrder, 0, 1)
	}
	return packed, nil
}

// send sends a version and reports whether the receiver confirmed it.
func (distributor *Distributor) send(stream *lend.Stream, newest, base spread.Copy, packed []byte) bool {
	expected := time.Duration(float64(len(packed)) / distributor.bandwidth * float64(time.Second))
	deadline := time.Now().Add(min(spread.FetchTimeout+slowLink*expected, spread.TransferTimeout))
	answer := &wire.BulkAnswer{
		Version: newest.Version, Hash: newest.Hash, Bytes: uint64(len(newest.Body)), PackedBytes: uint64(len(packed)),
		BaseVersion: base.Version,
	}
	if writeAnswer(stream, answer) != nil {
		return false
	}
	for piece := range slices.Chunk(packed, pieceBytes) {
		frame := &wire.StreamFrame{Body: &wire.StreamFrame_BulkPiece{BulkPiece: &wire.BulkPiece{Data: piece}}}
		if time.Now().After(deadline) || stream.Write(frame) != nil {
			return false
		}
	}
	// The window of the stream takes whole bodies, so only the receiver knows when they have arrived.
	if stream.SetReadDeadline(deadline) != nil {
		return false
	}
	frame, err := stream.Read()
	return err == nil && frame.GetBulkRequest().GetHeldVersion() >= newest.Version
}

func writeAnswer(stream *lend.Stream, answer *wire.BulkAnswer) error {
	return stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_BulkAnswer{BulkAnswer: answer}})
}
