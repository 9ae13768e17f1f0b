package front

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// refusingDispatcher refuses all logins.
type refusingDispatcher struct{ spool.Dispatcher }

// Login returns a refusal for each key.
func (refusingDispatcher) Login(string, string) (spool.Login, *spool.Refusal) {
	return spool.Login{}, notRun(spool.CodeBadKey, "unknown key")
}

func FuzzStartup(f *testing.F) {
	front := New(refusingDispatcher{}, WithStartupTimeout(time.Second))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			front.startupSlots <- struct{}{}
			front.serveConnection(server)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(data)
		_ = client.Close()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("startup did not finish within 5 s of closing the connection")
		}
	})
}

func FuzzAssembly(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := defaultSettings()
		settings.maxMessageSize = 1 << 12
		settings.maxCycleSize = 1 << 13
		assembler := newAssembler(&settings)
		input := newInput(bytes.NewReader(data))
		input.maxSize = settings.maxMessageSize
		for {
			message, err := input.next()
			if err != nil {
				return
			}
			done, violation := assembler.add(message)
			if violation != nil {
				return
			}
			if !done {
				continue
			}
			checkCycle(t, &assembler)
			assembler.syncPending = assembler.terminator == 'H'
			assembler.reset()
		}
	})
}

// checkCycle fails the test unless the cycle's messages are complete and match its replies and statements.
func checkCycle(t *testing.T, assembler *assembler) {
	if assembler.failure != nil || assembler.skippingToSync {
		return
	}
	if len(assembler.cycle.Messages) > 2*assembler.maxCycleSize {
		t.Fatalf("messages of the cycle take %d bytes, more than twice the maximum cycle size", len(assembler.cycle.Messages))
	}
	kinds := []byte{}
	for rest := assembler.cycle.Messages; len(rest) > 0; {
		if len(rest) < headerSize {
			t.Fatal("message header truncated")
		}
		size := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if size > len(rest) {
			t.Fatal("message truncated")
		}
		kinds = append(kinds, rest[0])
		rest = rest[size:]
	}
	expected := len(assembler.cycle.Replies)
	if assembler.cycle.Flush {
		expected++
	}
	if len(kinds) != expected {
		t.Fatalf("cycle has messages %q, want %d messages", kinds, expected)
	}
	for _, statement := range assembler.cycle.Statements {
		if !bytes.Contains(assembler.cycle.Messages, []byte(statement.Name)) {
			t.Fatalf("no message refers to statement %q", statement.Name)
		}
	}
}
