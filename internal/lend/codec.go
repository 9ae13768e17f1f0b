package lend

import (
	"net"
	"strings"
	"time"

	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Stream exchanges frames with another proxy over a connection.
type Stream struct {
	net.Conn
	*peer.Reader[wire.StreamFrame, *wire.StreamFrame]
	writer *peer.Writer[wire.StreamFrame, *wire.StreamFrame]
}

// NewStream returns a stream of frames over a connection.
func NewStream(conn net.Conn) *Stream {
	return &Stream{
		Conn: conn, Reader: peer.NewControlReader[wire.StreamFrame](conn), writer: peer.NewWriter[wire.StreamFrame](conn),
	}
}

// Read reads the next frame.
func (stream *Stream) Read() (*wire.StreamFrame, error) { return stream.Reader.Read() }

// writeTimeout bounds a write, which blocks when the other side has stopped reading and the send window is full.
const writeTimeout = time.Second

// Write sends a frame.
func (stream *Stream) Write(frame *wire.StreamFrame) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := stream.writer.Write(frame)
	return err
}

func encodeCommands(commands []spool.Command) *wire.StreamFrame {
	encoded := make([]*wire.LinkCommand, 0, len(commands))
	for _, command := range commands {
		encoded = append(encoded, &wire.LinkCommand{
			ID: command.ID, Verb: int32(command.Verb), Name: command.Name, Text: command.Text, Writes: command.Writes,
			AfterTerm: uint64(command.MinPosition.Term), AfterNumber: uint64(command.MinPosition.Number),
		})
	}
	return &wire.StreamFrame{Body: &wire.StreamFrame_LoanCommands{LoanCommands: &wire.LoanCommands{Commands: encoded}}}
}

// decodeCommands returns the commands; valid is false if there is one that cannot be sent to a server, such as a command of
// a newer version, since a connection's codec panics on it.
func decodeCommands(body *wire.LoanCommands) (commands []spool.Command, valid bool) {
	commands = make([]spool.Command, 0, len(body.Commands))
	for _, command := range body.Commands {
		if verb := spool.Verb(command.Verb); verb <= spool.VerbUnknown || verb > spool.VerbResume {
			return nil, false
		}
		commands = append(commands, spool.Command{
			ID: command.ID, Verb: spool.Verb(command.Verb), Name: command.Name, Text: command.Text, Writes: command.Writes,
			MinPosition: spool.LogPosition{Term: spool.Term(command.AfterTerm), Number: spool.Position(command.AfterNumber)},
		})
	}
	return commands, true
}

// invalidText replaces bytes that a frame cannot carry: without the replacement the borrower would get no answer.
const invalidText = "?"

func encodeAnswer(answer spool.Answer) *wire.StreamFrame {
	result := &wire.LoanResult{
		Rows: answer.Rows, Digest: strings.ToValidUTF8(answer.Digest, invalidText), State: uint32(answer.State),
		Term: uint64(answer.Position.Term), Number: uint64(answer.Position.Number),
	}
	if refusal := answer.Refusal; refusal != nil {
		result.Code, result.Message = refusal.Code, strings.ToValidUTF8(refusal.Message, invalidText)
		result.Verdict, result.RetryNanos = int32(refusal.Verdict), int64(refusal.RetryAfter)
	}
	return &wire.StreamFrame{Body: &wire.StreamFrame_LoanResult{LoanResult: result}}
}

func decodeAnswer(result *wire.LoanResult) spool.Answer {
	answer := spool.Answer{
		Rows: result.Rows, Digest: result.Digest, State: spool.TxState(result.State),
		Position: spool.LogPosition{Term: spool.Term(result.Term), Number: spool.Position(result.Number)},
	}
	if result.Code != "" {
		answer.Refusal = &spool.Refusal{
			Verdict: spool.Verdict(result.Verdict), Code: result.Code, Message: result.Message,
			RetryAfter: time.Duration(result.RetryNanos),
		}
	}
	return answer
}
