package front_test

import (
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
	bed.Assert(probe.Close(), qt.IsNil)
	_, err = pgx.Connect(bed.context(), bed.url("counter", "x"))
	bed.Assert(err, qt.IsNotNil)
	bed.Assert(<-witness.refused, qt.Equals, spool.CodeBadKey)
	broken := bed.connect()
	_, err = broken.PgConn().Conn().Write([]byte("?\x00\x00\x00\x01"))
	bed.Assert(err, qt.IsNil)
	bed.Assert(<-witness.ended, qt.Equals, "renewals "+spool.CodeProtocol)
	left := bed.connect()
	bed.Assert(left.Close(bed.context()), qt.IsNil)
	bed.Assert(bed.front.Drain(bed.context()), qt.IsNil)
	bed.Assert(witness.refused, qt.HasLen, 0)
	bed.Assert(witness.ended, qt.HasLen, 0)
}
