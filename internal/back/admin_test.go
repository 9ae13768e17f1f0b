package back_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

func TestAdmin(t *testing.T) {
	c := qt.New(t)
	dialect, err := back.DialectByName("register")
	c.Assert(err, qt.IsNil)
	_, err = back.DialectByName("none")
	c.Assert(err, qt.IsNotNil)
	admin := back.NewAdmin(dialect, credentials)
	defer admin.Close()
	first, second := startServer(c), startServer(c)
	for range 2 {
		status, err := admin.Promote(timeoutContext(c), first, 4)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, spool.ServerStatus{Server: "one", Term: 4, Primary: true})
	}
	conn := dial(c, first)
	_, err = conn.Exchange(timeoutContext(c), query("PUT a b"), &recordingSink{})
	c.Assert(err, qt.IsNil)
	c.Assert(admin.Follow(timeoutContext(c), second, 4, first), qt.IsNil)
	for status := (spool.ServerStatus{}); status.Position != 1; time.Sleep(time.Millisecond) {
		status, err = admin.Status(timeoutContext(c), second)
		c.Assert(err, qt.IsNil)
	}
	_, err = admin.Promote(timeoutContext(c), first, 3)
	c.Assert(err, qt.IsNotNil)
}

func TestAdminReconnects(t *testing.T) {
	c := qt.New(t)
	server := regsrv.New()
	c.Assert(server.Start(), qt.IsNil)
	spec := spool.ServerSpec{Name: "one", Address: server.Address()}
	dialect, err := back.DialectByName("register")
	c.Assert(err, qt.IsNil)
	admin := back.NewAdmin(dialect, credentials)
	_, err = admin.Status(timeoutContext(c), spec)
	c.Assert(err, qt.IsNil)
	server.Close()
	_, err = admin.Status(timeoutContext(c), spec)
	c.Assert(err, qt.IsNotNil)
	again := regsrv.New(regsrv.WithAddress(spec.Address))
	c.Assert(again.Start(), qt.IsNil)
	defer again.Close()
	_, err = admin.Status(timeoutContext(c), spec)
	c.Assert(err, qt.IsNil)
	frozen := spool.Duration(time.Minute)
	again.UpdateFaults(regsrv.FaultUpdate{FrozenFor: &frozen})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = admin.Status(ctx, spec)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
}
