package leader

import (
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const maxHeld = 64 << 10

var errFenced = eris.New("the lease ended before the answer could be passed on")

// guard holds an answer back while it is short and passes bytes on only while the lease allows it.
type guard struct {
	sink   spool.Sink
	allows func() bool
	held   []byte
	passed bool // bytes went to the sink
}

// Write holds messages back or passes them on.
func (guard *guard) Write(messages []byte) (int, error) {
	if !guard.passed && len(guard.held)+len(messages) <= maxHeld {
		guard.held = append(guard.held, messages...)
		return len(messages), nil
	}
	if err := guard.flush(); err != nil {
		return 0, err
	}
	return len(messages), guard.pass(messages)
}

func (guard *guard) flush() error {
	if len(guard.held) == 0 {
		return nil
	}
	err := guard.pass(guard.held)
	guard.held = guard.held[:0]
	return err
}

func (guard *guard) pass(messages []byte) error {
	if !guard.allows() {
		return errFenced
	}
	guard.passed = true
	_, err := guard.sink.Write(messages)
	return err
}

// Tally passes bytes on and remembers that there were any.
type Tally struct {
	spool.Sink
	Passed bool
}

// Write passes messages on.
func (tally *Tally) Write(messages []byte) (int, error) {
	tally.Passed = true
	return tally.Sink.Write(messages)
}
