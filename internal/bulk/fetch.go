package bulk

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/spread"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

var (
	errSuperseded = errors.New("a newer version was announced")
	errCorrupted  = errors.New("the body is wrong")
)

var outcomeNames = map[spread.Outcome]string{
	spread.Completed: "completed", spread.Busy: "busy", spread.Nothing: "nothing_newer", spread.Stalled: "stalled",
	spread.Closed: "closed", spread.Corrupted: "corrupted", spread.Superseded: "superseded", spread.Unknown: "older_proxy",
}

// fetch performs a fetch and puts what it delivers in effect.
func (distributor *Distributor) fetch(ctx context.Context, fetch spread.Fetch) {
	began := distributor.timers.Now()
	outcome, copied, err := distributor.transfer(ctx, fetch)
	took := distributor.timers.Now().Sub(began)
	distributor.logFetch(fetch, outcome, copied, took, err)
	if outcome == spread.Completed {
		if err = distributor.put(copied, fetch.Source); err != nil {
			outcome = spread.Corrupted
			distributor.logFetch(fetch, outcome, copied, took, err)
		}
	}
	if outcome != spread.Busy { // Redirect ended it
		distributor.mutex.Lock()
		distributor.fetcher.Finish(outcome, distributor.timers.Now())
		distributor.mutex.Unlock()
	}
	distributor.observer.Fetched(outcomeNames[outcome])
	if outcome == spread.Unknown {
		distributor.peers.RequestWhole(fetch.Source)
	}
}

// put serves a verified version to others at once and puts it in effect.
func (distributor *Distributor) put(copied spread.Copy, source spool.VM) error {
	distributor.mutex.Lock()
	distributor.add(copied, distributor.timers.Now())
	distributor.mutex.Unlock()
	object := spool.Object{Kind: distributor.kind, Name: distributor.name, Version: copied.Stored, Body: copied.Body}
	_, distance := distributor.peers.Locate(source)
	err := distributor.apply(object, copied.Version, distance == spread.OtherRegion)
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	if err != nil || distributor.fetcher.Held() < copied.Version {
		// A version that a newer one overtook has to be fetched again if the newer one proves malformed.
		distributor.library.Remove(copied.Version)
	}
	return err
}

func (distributor *Distributor) logFetch(
	fetch spread.Fetch, outcome spread.Outcome, copied spread.Copy, took time.Duration, err error,
) {
	fields := []zap.Field{zap.String("Peer", string(fetch.Source)), zap.Uint64("Version", fetch.Version), zap.Duration("Took", took)}
	switch outcome {
	case spread.Completed:
		fields[1] = zap.Uint64("Version", copied.Version)
		event.Log(distributor.logger, event.ConfigFetched, append(fields, zap.Int("Bytes", len(copied.Body)))...)
	case spread.Corrupted:
		event.Log(distributor.logger, event.ConfigCorrupted, append(fields, event.Cause(err))...)
	case spread.Stalled, spread.Closed:
		fields = append(fields, zap.String("Outcome", outcomeNames[outcome]), event.Cause(err))
		event.Log(distributor.logger, event.ConfigFetchFailed, fields...)
	}
}

// transfer requests a version and receives it.
func (distributor *Distributor) transfer(ctx context.Context, fetch spread.Fetch) (spread.Outcome, spread.Copy, error) {
	distributor.mutex.Lock()
	patience := distributor.fetcher.Deadline().Sub(distributor.timers.Now())
	distributor.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := distributor.peers.Open(ctx, fetch.Source)
	if err != nil {
		return spread.Closed, spread.Copy{}, err
	}
	defer func() { _ = conn.Close() }() // the transfer has ended
	distributor.mutex.Lock()
	held := distributor.library.Newest()
	distributor.mutex.Unlock()
	stream := lend.NewStream(&progressConn{Conn: conn, distributor: distributor})
	request := &wire.BulkRequest{
		Kind: distributor.kind, Name: distributor.name, HeldVersion: held.Version, HeldHash: held.Hash,
	}
	if err := stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_BulkRequest{BulkRequest: request}}); err != nil {
		return spread.Closed, spread.Copy{}, err
	}
	frame, err := stream.Read()
	if errors.Is(err, io.EOF) { // no byte of an answer, as from a proxy of an older version; within one it is io.ErrUnexpectedEOF
		return spread.Unknown, spread.Copy{}, err
	}
	if err != nil {
		return failure(err), spread.Copy{}, err
	}
	answer := frame.GetBulkAnswer()
	if answer == nil {
		return spread.Closed, spread.Copy{}, eris.New("unexpected frame")
	}
	if answer.Busy {
		distributor.redirect(answer)
		return spread.Busy, spread.Copy{}, nil
	}
	copied, err := distributor.receive(stream, answer, held)
	if err != nil {
		return failure(err), spread.Copy{}, err
	}
	if copied.Version == 0 {
		return spread.Nothing, copied, nil
	}
	confirmation := &wire.BulkRequest{Kind: distributor.kind, Name: distributor.name, HeldVersion: copied.Version, HeldHash: copied.Hash}
	// Without the confirmation the source only frees the transfer later.
	_ = stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_BulkRequest{BulkRequest: confirmation}})
	return spread.Completed, copied, nil
}

func (distributor *Distributor) redirect(answer *wire.BulkAnswer) {
	var named []spread.Source
	for _, source := range answer.Sources {
		_, distance := distributor.peers.Locate(spool.VM(source))
		named = append(named, spread.Source{VM: spool.VM(source), Distance: distance})
	}
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	distributor.fetcher.Redirect(named, time.Duration(max(0, answer.RetryNanos)), distributor.timers.Now())
}

// receive receives the pieces that an answer announces and verifies them. It returns no version if the source has none newer.
func (distributor *Distributor) receive(stream *lend.Stream, answer *wire.BulkAnswer, held spread.Copy) (spread.Copy, error) {
	if answer.Bytes > maxBodyBytes || answer.PackedBytes > maxBodyBytes {
		return spread.Copy{}, eris.Wrapf(errCorrupted, "%d bytes, packed %d", answer.Bytes, answer.PackedBytes)
	}
	distributor.mutex.Lock()
	accepted := distributor.fetcher.Accept(answer.Version, int(answer.PackedBytes), distributor.timers.Now())
	distributor.mutex.Unlock()
	if !accepted {
		return spread.Copy{}, nil
	}
	var base []byte
	if answer.BaseVersion != 0 {
		base = held.Body
	}
	packed := make([]byte, 0, answer.PackedBytes)
	for len(packed) < int(answer.PackedBytes) {
		frame, err := stream.Read()
		if err != nil {
			return spread.Copy{}, err
		}
		piece := frame.GetBulkPiece()
		if piece == nil || len(piece.Data) == 0 || len(packed)+len(piece.Data) > int(answer.PackedBytes) {
			return spread.Copy{}, eris.Wrap(errCorrupted, "unexpected frame")
		}
		packed = append(packed, piece.Data...)
	}
	stored, body, err := unpack(packed, int(answer.Bytes), base)
	if err != nil {
		return spread.Copy{}, eris.Wrap(errCorrupted, err.Error())
	}
	if hash := contentHash(stored, body); hash != answer.Hash {
		return spread.Copy{}, eris.Wrapf(errCorrupted, "hash %x instead of %x", hash, answer.Hash)
	}
	return spread.Copy{Version: answer.Version, Stored: stored, Hash: answer.Hash, Body: body}, nil
}

// failure returns the outcome of a transfer that an error ended.
func failure(err error) spread.Outcome {
	var timeout net.Error
	switch {
	case errors.Is(err, errSuperseded):
		return spread.Superseded
	case errors.Is(err, errCorrupted):
		return spread.Corrupted
	case errors.As(err, &timeout) && timeout.Timeout():
		return spread.Stalled
	}
	return spread.Closed
}

// progressConn reports the bytes read to the fetcher, which decides how long the next ones may take.
type progressConn struct {
	net.Conn
	distributor *Distributor
	received    int
}

// Read reads until the fetcher's deadline; it fails with errSuperseded if the transfer is to be abandoned.
func (conn *progressConn) Read(data []byte) (int, error) {
	distributor := conn.distributor
	now := distributor.timers.Now()
	distributor.mutex.Lock()
	remaining := distributor.fetcher.Deadline().Sub(now)
	distributor.mutex.Unlock()
	if err := conn.SetReadDeadline(time.Now().Add(remaining)); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Read(data)
	if err != nil {
		return count, err
	}
	conn.received += count
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	if distributor.fetcher.Progress(conn.received, distributor.timers.Now()) {
		return 0, errSuperseded
	}
	return count, nil
}
