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

// closedGate lets nobody in.
type closedGate struct{ spool.Dispatcher }

// Login refuses each key.
func (closedGate) Login(string, string) (spool.Login, *spool.Refusal) {
	return spool.Login{}, notRun(spool.CodeBadKey, "unknown key")
}

func FuzzStartup(f *testing.F) {
	front := New(closedGate{}, WithStartupTimeout(time.Second))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			front.startups <- struct{}{}
			front.serve(server)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(data)
		_ = client.Close()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the startup does not end")
		}
	})
}

func FuzzAssembly(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := defaultSettings()
		settings.messageSize = 1 << 12
		settings.cycleSize = 1 << 13
		assembly := newAssembly(&settings)
		input := newInput(bytes.NewReader(data))
		input.limit = settings.messageSize
		for {
			message, err := input.next()
			if err != nil {
				return
			}
			done, broken := assembly.add(message)
			if broken != nil {
				return
			}
			if !done {
				continue
			}
			checkCycle(t, &assembly)
			assembly.unsynced = assembly.end == 'H'
			assembly.reset()
		}
	})
}

// checkCycle fails unless the cycle's messages are whole and match the replies and the statements.
func checkCycle(t *testing.T, assembly *assembly) {
	if assembly.failure != nil || assembly.skipping {
		return
	}
	if len(assembly.cycle.Messages) > 2*assembly.cycleSize {
		t.Fatalf("the cycle holds %d bytes", len(assembly.cycle.Messages))
	}
	kinds := []byte{}
	for rest := assembly.cycle.Messages; len(rest) > 0; {
		if len(rest) < headerSize {
			t.Fatal("a header is cut off")
		}
		size := 1 + int(binary.BigEndian.Uint32(rest[1:]))
		if size > len(rest) {
			t.Fatal("a message is cut off")
		}
		kinds = append(kinds, rest[0])
		rest = rest[size:]
	}
	expected := len(assembly.cycle.Replies)
	if assembly.cycle.Flush {
		expected++
	}
	if len(kinds) != expected {
		t.Fatalf("%q for %d replies", kinds, expected)
	}
	for _, statement := range assembly.cycle.Statements {
		if !bytes.Contains(assembly.cycle.Messages, []byte(statement.Name)) {
			t.Fatalf("statement %q is not named", statement.Name)
		}
	}
}
