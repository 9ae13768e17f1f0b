package leader_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/pkg/spool"
)

// slotObserver calls a function when a request has acquired a slot and has no connection yet.
type slotObserver struct{ acquired func() }

func (slotObserver *slotObserver) ObserveSlotWait(time.Duration) { slotObserver.acquired() }
func (slotObserver *slotObserver) CountRead(bool)                {}

// ofRequest is the context key that marks the connections opened for requests.
type ofRequest struct{}

// TestServerMarkedDownBeforeConnect guards against refusing a request whose server is marked down after the request got a
// slot on it, although another server can run it.
func TestServerMarkedDownBeforeConnect(t *testing.T) {
	observer := &slotObserver{}
	fixture := newFixture(t, script{"primary": {{text: "good"}}}, leader.WithObserver(observer))
	observer.acquired = func() { fixture.group.MarkDown("replica") }
	text, verdict, _ := fixture.run(leader.Request{Read: true})
	fixture.Assert(verdict, qt.Equals, spool.VerdictAnswered)
	fixture.Assert(text, qt.Equals, "good")
}

// TestCanceledDialKeepsServer guards against marking a server down because a caller canceled its request while the
// connection to the server was being opened.
func TestCanceledDialKeepsServer(t *testing.T) {
	c := qt.New(t)
	fixture := &fixture{C: c}
	requestContext := context.WithValue(context.Background(), ofRequest{}, true)
	ctx, cancel := context.WithCancel(requestContext)
	defer cancel()
	dial := func(dialCtx context.Context, server spool.ServerSpec) (leader.Conn, error) {
		if dialCtx.Value(ofRequest{}) == nil {
			return nil, errUnsent // the group's own warm-up, which must not leave an idle connection here
		}
		cancel()
		if dialCtx.Err() != nil {
			return nil, dialCtx.Err()
		}
		return &conn{fixture: fixture, server: server.Name}, nil
	}
	group := leader.New(spool.GroupSpec{Name: "g", Servers: []spool.ServerSpec{
		{Name: "primary", Slots: 1, Connections: 4},
	}}, &clock.Simulated{}, dial)
	group.OpenTerm(terms.Open{Term: 1, Primary: "primary"})
	group.RecordStatus(spool.ServerStatus{Server: "primary", Term: 1, Primary: true}, 0)
	group.SetFence(terms.Fence{Term: 1, Until: spool.Instant(time.Minute)})
	request := leader.Request{Team: "team", Deadline: spool.Instant(time.Minute)}
	_, err := group.NewExecutor(request).Exchange(ctx, &spool.Cycle{}, &output{})
	c.Assert(err, qt.ErrorMatches, ".*was canceled.*")
	request.Deadline = spool.Instant(50 * time.Millisecond)
	_, err = group.NewExecutor(request).Exchange(requestContext, &spool.Cycle{}, &output{})
	c.Assert(err, qt.IsNil)
}
