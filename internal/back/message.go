package back

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const (
	headerSize        = 5
	positionParameter = "corianderspool.position"
)

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	syncMessage   = []byte{'S', 0, 0, 0, 4}
)

func encodeFrontend(buffer []byte, message pgproto3.FrontendMessage) []byte {
	encoded, err := message.Encode(buffer)
	if err != nil {
		panic(err)
	}
	return encoded
}

func syncCycle() *spool.Cycle {
	return &spool.Cycle{Messages: syncMessage, Replies: []spool.Reply{spool.ReplySync}}
}

func queryCycle(text string) *spool.Cycle {
	messages := encodeFrontend(nil, &pgproto3.Query{String: text})
	return &spool.Cycle{Messages: messages, Replies: []spool.Reply{spool.ReplyQuery}}
}

// parsePosition parses "term/position".
func parsePosition(text string) (spool.SessionToken, error) {
	termText, positionText, found := strings.Cut(text, "/")
	if !found {
		return spool.SessionToken{}, eris.Errorf("position %q is not of the form term/position", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return spool.SessionToken{}, eris.Wrapf(err, "term in %q", text)
	}
	position, err := strconv.ParseUint(positionText, 10, 64)
	if err != nil {
		return spool.SessionToken{}, eris.Wrapf(err, "position in %q", text)
	}
	return spool.SessionToken{Term: spool.Term(term), Position: spool.Position(position)}, nil
}

// messageSize returns the size in bytes of the message with the given header, or -1 if its length is invalid.
func messageSize(header []byte) int {
	length := int(int32(binary.BigEndian.Uint32(header[1:headerSize])))
	if length < 4 {
		return -1
	}
	return length + 1
}

// cutString splits body after its first null-terminated string.
func cutString(body []byte) (text, rest []byte, found bool) {
	return bytes.Cut(body, []byte{0})
}
