package slope

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

const (
	protocolVersion = 3 << 16
	answerSize      = 4096
)

func sessionMeasures() []measure {
	return []measure{
		newMeasure("SessionLoggedIn", "callers without TLS, logged in", "bytes", []int{100, 400, 1600}, idleSessions(0)),
		newMeasure("SessionUsed", "callers without TLS, after 3 statements", "bytes", []int{100, 400, 1600}, idleSessions(3)),
		newMeasure("SessionCycle", "statements", "CPU µs, front and kernel", []int{100, 1000, 4000}, statementMicros),
	}
}

// stubDispatcher accepts every login and answers every cycle itself.
type stubDispatcher struct{}

func (stubDispatcher) Login(string, string) (spool.Login, *spool.Refusal) {
	return spool.Login{Team: teamName(1), Route: spool.RouteSpec{Name: "open", Group: groupName(1), Open: true}}, nil
}

func (stubDispatcher) Attach(spool.Login) (sessionEnds <-chan spool.SessionEnd, detach func()) {
	return make(chan spool.SessionEnd, 1), func() {}
}

func (stubDispatcher) Begin(context.Context, spool.Work) (spool.Executor, error) {
	return stubExecutor{}, nil
}

type stubExecutor struct{}

func (stubExecutor) Exchange(_ context.Context, _ *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	answer, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(nil)
	if err != nil {
		return spool.Result{TxStatus: 'I'}, err
	}
	_, err = sink.Write(answer)
	return spool.Result{TxStatus: 'I', Token: spool.SessionToken{Group: groupName(1), Term: 1, Position: 1}, Sent: true}, err
}

func (stubExecutor) Close() {}

// caller is the file descriptor of a socket; raw system calls keep its memory out of the Go heap that is measured.
type caller int

func dial(address *net.TCPAddr) (caller, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return 0, eris.Wrap(err, "open a socket")
	}
	target := &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	if err := unix.Connect(socket, target); err != nil {
		return 0, eris.Wrap(err, "connect to the front end")
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: protocolVersion, Parameters: map[string]string{"user": "counter", "database": "open"},
	}
	return caller(socket), caller(socket).exchange(startup)
}

// exchange sends a message and reads up to the next ReadyForQuery.
func (caller caller) exchange(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return eris.Wrap(err, "encode a message")
	}
	if _, err := unix.Write(int(caller), encoded); err != nil {
		return eris.Wrap(err, "write a message to the front end")
	}
	buffer := make([]byte, answerSize)
	size := 0
	for {
		read, err := unix.Read(int(caller), buffer[size:])
		if err != nil || read == 0 {
			return eris.Errorf("front end closed the connection: %v", err)
		}
		size += read
		if hasReadyForQuery(buffer[:size]) {
			return nil
		}
	}
}

// hasReadyForQuery reports whether the messages contain a complete ReadyForQuery.
func hasReadyForQuery(messages []byte) bool {
	for len(messages) >= 5 {
		length := int(binary.BigEndian.Uint32(messages[1:5])) + 1
		if length > len(messages) {
			return false
		}
		if messages[0] == 'Z' {
			return true
		}
		messages = messages[length:]
	}
	return false
}

// frontTestbed is a proxy front end with its callers.
type frontTestbed struct {
	front   *front.Front
	address *net.TCPAddr
	callers []caller
}

func newFrontTestbed() (*frontTestbed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	frontTestbed := &frontTestbed{front: front.New(stubDispatcher{}), address: listener.Addr().(*net.TCPAddr)}
	go func() { _ = frontTestbed.front.Serve(listener) }()
	return frontTestbed, nil
}

func (frontTestbed *frontTestbed) close() {
	for _, caller := range frontTestbed.callers {
		_ = unix.Close(int(caller))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = frontTestbed.front.Drain(ctx)
}

// addCaller connects a caller, which runs statements and stays connected.
func (frontTestbed *frontTestbed) addCaller(statements int) error {
	caller, err := dial(frontTestbed.address)
	if err != nil {
		return err
	}
	frontTestbed.callers = append(frontTestbed.callers, caller)
	for range statements {
		if err := caller.exchange(&pgproto3.Query{String: "GET family"}); err != nil {
			return err
		}
	}
	return nil
}

func idleSessions(statements int) func(callers int) (float64, error) {
	return func(callers int) (float64, error) {
		frontTestbed, err := newFrontTestbed()
		if err != nil {
			return 0, err
		}
		defer frontTestbed.close()
		return retainedBytes(func() (any, error) {
			for range callers {
				if err := frontTestbed.addCaller(statements); err != nil {
					return frontTestbed, err
				}
			}
			time.Sleep(100 * time.Millisecond)
			return frontTestbed, nil
		})
	}
}

// statementMicros measures the CPU time of one caller's statements after a warm-up, including its own system calls.
func statementMicros(statements int) (float64, error) {
	frontTestbed, err := newFrontTestbed()
	if err != nil {
		return 0, err
	}
	defer frontTestbed.close()
	if err := frontTestbed.addCaller(window); err != nil {
		return 0, err
	}
	start := processCPUTime()
	for range statements {
		if err := frontTestbed.callers[0].exchange(&pgproto3.Query{String: "GET family"}); err != nil {
			return 0, err
		}
	}
	return micros(processCPUTime() - start), nil
}
