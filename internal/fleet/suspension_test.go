package fleet

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// jumpingClock is the machine's clock with an offset, as after suspensions.
type jumpingClock struct {
	clock.Real
	offset atomic.Int64
}

func (jumpingClock *jumpingClock) Now() spool.Instant {
	return jumpingClock.Real.Now().Add(time.Duration(jumpingClock.offset.Load()))
}

// TestResumedProxyLearnsOfAnEvacuationBeforeItSends evacuates a failure domain while a VM is suspended: without the wait the first
// statement after it is sent. An outage of the store delays statements only after a suspension, and at most by ResumeWait.
func TestResumedProxyLearnsOfAnEvacuationBeforeItSends(t *testing.T) {
	c := qt.New(t)
	store := kvsrv.New(nil)
	defer store.Close()
	timers := &jumpingClock{}
	settings := spool.FleetSettings{
		VM: "vm0", Domain: "z1", Region: "r1", Regions: map[spool.Domain]string{"z1": "r1", "z2": "r1"}, Store: store.Address(),
		Bounds: spool.FleetBounds{Evacuate: 5 * time.Second},
	}
	proxy := New(settings, platform.New(settings, sock.Dialer(time.Second)), timers, zap.NewNop())
	send := func() (took time.Duration, err error) {
		began := time.Now()
		err = proxy.pool.CheckSend("z2", place.NewWork)
		return time.Since(began), err
	}
	_, err := send()
	c.Assert(err, qt.IsNil)
	store.Write("evacuations", "z2", map[string]any{})
	timers.offset.Add(int64(3 * time.Second))
	took, err := send()
	c.Assert(err, qt.Equals, pool.ErrEvacuated)
	c.Assert(took < place.ResumeWait, qt.IsTrue, qt.Commentf("%v", took))
	store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	took, _ = send()
	c.Assert(took < place.ResumeWait/2, qt.IsTrue, qt.Commentf("%v without a suspension", took))
	timers.offset.Add(int64(3 * time.Second))
	took, _ = send()
	c.Assert(took >= place.ResumeWait/2 && took < 2*place.ResumeWait, qt.IsTrue, qt.Commentf("%v after a suspension", took))
	took, _ = send()
	c.Assert(took < place.ResumeWait/2, qt.IsTrue, qt.Commentf("%v after the wait", took))
}
