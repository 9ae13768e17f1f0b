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

// witness records the codes that an observer is told.
type witness struct{ refused, ended chan string }

func (witness *witness) LoginRefused(_ net.Addr, refusal *spool.Refusal) {
	witness.refused <- refusal.Code
}

func (witness *witness) SessionEnded(login spool.Login, _ net.Addr, refusal *spool.Refusal) {
	witness.ended <- login.Route.Name + " " + refusal.Code
}

func TestObserverIsToldOfRefusedAndEndedCallers(t *testing.T) {
	witness := &witness{refused: make(chan string, 9), ended: make(chan string, 9)}
	bed := newBed(t, front.WithObserver(witness))
	probe, err := net.Dial("tcp", bed.address)
	bed.Assert(err, qt.IsNil)
	bed.Assert(probe.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, err := io.ReadAll(probe)
	bed.Assert(err, qt.IsNil)
	bed.Assert(answer, qt.HasLen, 0)
	_, err = pgx.Connect(bed.context(), bed.url("counter", "x"))
	bed.Assert(err, qt.IsNotNil)
	bed.Assert(<-witness.refused, qt.Equals, spool.CodeBadKey)
	broken := bed.connect()
	_, err = broken.PgConn().Conn().Write([]byte("?\x00\x00\x00\x01"))
	bed.Assert(err, qt.IsNil)
	bed.Assert(<-witness.ended, qt.Equals, "renewals "+spool.CodeProtocol)
	left := bed.connect().PgConn().Conn()
	_, err = left.Write([]byte("X\x00\x00\x00\x04"))
	bed.Assert(err, qt.IsNil)
	_, err = io.ReadAll(left)
	bed.Assert(err, qt.IsNil)
	bed.Assert(witness.refused, qt.HasLen, 0)
	bed.Assert(witness.ended, qt.HasLen, 0)
}
