package front_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

// recordingObserver records the codes of the refusals that it is notified of.
type recordingObserver struct{ refused, ended chan string }

func (recordingObserver *recordingObserver) LoginRefused(_ net.Addr, refusal *spool.Refusal) {
	recordingObserver.refused <- refusal.Code
}

func (recordingObserver *recordingObserver) SessionEnded(login spool.Login, _ net.Addr, refusal *spool.Refusal) {
	recordingObserver.ended <- login.Route.Name + " " + refusal.Code
}

func TestObserverReportsRefusedAndEndedSessions(t *testing.T) {
	recordingObserver := &recordingObserver{refused: make(chan string, 9), ended: make(chan string, 9)}
	harness := newHarness(t, front.WithObserver(recordingObserver))
	probe, err := net.Dial("tcp", harness.address)
	harness.Assert(err, qt.IsNil)
	harness.Assert(probe.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, err := io.ReadAll(probe)
	harness.Assert(err, qt.IsNil)
	harness.Assert(answer, qt.HasLen, 0)
	_, err = pgx.Connect(harness.context(), harness.url("counter", "x"))
	harness.Assert(err, qt.IsNotNil)
	harness.Assert(<-recordingObserver.refused, qt.Equals, spool.CodeBadKey)
	violator := harness.connect()
	_, err = violator.PgConn().Conn().Write([]byte("?\x00\x00\x00\x01"))
	harness.Assert(err, qt.IsNil)
	harness.Assert(<-recordingObserver.ended, qt.Equals, "renewals "+spool.CodeProtocol)
	disconnected := harness.connect().PgConn().Conn()
	_, err = disconnected.Write([]byte("X\x00\x00\x00\x04"))
	harness.Assert(err, qt.IsNil)
	_, err = io.ReadAll(disconnected)
	harness.Assert(err, qt.IsNil)
	harness.Assert(recordingObserver.refused, qt.HasLen, 0)
	harness.Assert(recordingObserver.ended, qt.HasLen, 0)
}
