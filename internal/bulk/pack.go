package bulk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const (
	windowBytes = 1 << 20 // bounds the memory of encoder and decoder
	// segmentBytes is the size of the separately compressed segments of a body. A match in the dictionary must lie within the
	// window, so the dictionary of each segment is the part of the base around it.
	segmentBytes = 512 << 10
	// marginBytes is how far contents may have moved against the base and still be found in a segment's dictionary.
	marginBytes  = 128 << 10
	maxBodyBytes = 8 << 20 // twice what the platform's client accepts
	dictionaryID = 1
	storedBytes  = 8 // the store's version, which precedes the segments
)

// contentHash returns the hash of a body and of its version in the store.
func contentHash(stored spool.Version, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(stored))) // never fails
	_, _ = digest.Write(body)                                               // never fails
	return digest.Sum64()
}

// pack compresses a body with a base as the dictionary, which may be empty. The result has the version in the store, then the
// segments, each preceded by its length.
func pack(stored spool.Version, body, base []byte) ([]byte, error) {
	packed := binary.BigEndian.AppendUint64(nil, uint64(stored))
	for start := 0; start < len(body); start += segmentBytes {
		options := []zstd.EOption{
			zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
		}
		if dictionary := dictionaryAt(base, start); len(dictionary) > 0 {
			options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
		}
		encoder, err := zstd.NewWriter(nil, options...)
		if err != nil {
			return nil, eris.Wrap(err, "create encoder")
		}
		segment := encoder.EncodeAll(body[start:min(start+segmentBytes, len(body))], nil)
		if err := encoder.Close(); err != nil {
			return nil, eris.Wrap(err, "close encoder")
		}
		packed = append(binary.AppendUvarint(packed, uint64(len(segment))), segment...)
	}
	return packed, nil
}

// unpack reverses pack; size is the expected size of the body in bytes.
func unpack(packed []byte, size int, base []byte) (stored spool.Version, body []byte, err error) {
	if len(packed) < storedBytes || size > maxBodyBytes {
		return 0, nil, eris.Errorf("%d packed bytes for a body of %d bytes", len(packed), size)
	}
	stored, packed = spool.Version(binary.BigEndian.Uint64(packed)), packed[storedBytes:]
	body = make([]byte, size)
	for start := 0; start < size; start += segmentBytes {
		length, prefix := binary.Uvarint(packed)
		if prefix <= 0 || length > uint64(len(packed)-prefix) {
			return 0, nil, eris.New("segment is cut off")
		}
		segment := packed[prefix : prefix+int(length)]
		packed = packed[prefix+int(length):]
		target := body[start:min(start+segmentBytes, size)]
		if err := unpackSegment(segment, target, dictionaryAt(base, start)); err != nil {
			return 0, nil, err
		}
	}
	if len(packed) > 0 {
		return 0, nil, eris.Errorf("%d bytes after the last segment", len(packed))
	}
	return stored, body, nil
}

// unpackSegment decompresses a segment into the target, which it must fill.
func unpackSegment(segment, target, dictionary []byte) error {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(windowBytes),
		zstd.WithDecoderMaxMemory(segmentBytes), zstd.WithDecodeAllCapLimit(true),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return eris.Wrap(err, "create decoder")
	}
	defer decoder.Close()
	contents, err := decoder.DecodeAll(segment, target[:0:len(target)])
	if err != nil {
		return eris.Wrap(err, "decode segment")
	}
	if len(contents) != len(target) {
		return eris.Errorf("segment of %d bytes instead of %d", len(contents), len(target))
	}
	return nil
}

// dictionaryAt returns the part of a base that is the dictionary of the segment at a position.
func dictionaryAt(base []byte, start int) []byte {
	from, to := max(0, start-marginBytes), min(start+segmentBytes+marginBytes, len(base))
	if from >= to {
		return nil
	}
	return base[from:to]
}
