package objsrv_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
	qt "github.com/frankban/quicktest"
)

func startServer(c *qt.C, options ...objsrv.Option) *objsrv.Server {
	server := objsrv.New(options...)
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	return server
}

func newClient(c *qt.C, server *objsrv.Server, options ...objapi.Option) *objapi.Client {
	client := objapi.New(server.URL(), options...)
	c.Cleanup(client.Close)
	return client
}

func termObject(body string, version spool.Version) spool.Object {
	return spool.Object{Kind: spool.KindTerm, Name: "kyushu.renewals", Version: version, Body: json.RawMessage(body)}
}

func TestConditionalUpdate(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := newClient(c, startServer(c))
	created, err := client.Put(ctx, termObject(`{"Term":1}`, 0))
	c.Assert(err, qt.IsNil)
	c.Assert(created.Version, qt.Equals, spool.Version(1))
	_, err = client.Put(ctx, termObject(`{"Term":2}`, 0))
	c.Assert(err, qt.ErrorIs, spool.ErrConflict)
	updated, err := client.Put(ctx, termObject(`{"Term":2}`, created.Version))
	c.Assert(err, qt.IsNil)
	read, err := client.Get(ctx, spool.KindTerm, "kyushu.renewals")
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, updated)
	_, err = client.Get(ctx, spool.KindTerm, "kyushu.other")
	c.Assert(err, qt.ErrorIs, spool.ErrNotFound)
	objects, version, err := client.List(ctx, spool.KindTerm)
	c.Assert(err, qt.IsNil)
	c.Assert(objects, qt.HasLen, 1)
	c.Assert(version, qt.Equals, updated.Version)
	missing := termObject(`{}`, 7)
	missing.Name = "kyushu.other"
	_, err = client.Put(ctx, missing)
	c.Assert(err, qt.ErrorIs, spool.ErrNotFound)
}

func TestWatchReturnsOnChangeOrTimeout(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c)
	client := newClient(c, server, objapi.WithWatchWait(5*time.Second))
	shortWait := newClient(c, server, objapi.WithWatchWait(10*time.Millisecond))
	objects, version, err := shortWait.Watch(ctx, []string{spool.KindTerm}, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(objects, qt.HasLen, 0)
	c.Assert(version, qt.Equals, spool.Version(0))
	time.AfterFunc(20*time.Millisecond, func() { _, _ = shortWait.Put(ctx, termObject(`{"Term":1}`, 0)) })
	objects, version, err = client.Watch(ctx, []string{spool.KindQuorum, spool.KindTerm}, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(objects, qt.HasLen, 1)
	c.Assert(version, qt.Equals, spool.Version(1))
	calls := server.Calls()
	c.Assert(calls.Watch, qt.Equals, 2)
	c.Assert(calls.MaxWaiting, qt.Equals, 1)
	c.Assert(calls.Put, qt.Equals, 1)
}

func TestChangeTakesEffectWhenAnswerIsLost(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c)
	client := newClient(c, server)
	server.SetFaults(objsrv.Faults{LoseAnswers: 1})
	_, err := client.Put(ctx, termObject(`{"Term":1}`, 0))
	var callError *objapi.CallError
	c.Assert(errors.As(err, &callError), qt.IsTrue)
	c.Assert(callError.Refused(), qt.IsFalse)
	server.SetFaults(objsrv.Faults{})
	read, err := client.Get(ctx, spool.KindTerm, "kyushu.renewals")
	c.Assert(err, qt.IsNil)
	c.Assert(string(read.Body), qt.Equals, `{"Term":1}`)
}

func TestOutageAndErrors(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c)
	client := newClient(c, server, objapi.WithWatchWait(5*time.Second))
	time.AfterFunc(20*time.Millisecond, func() {
		server.SetFaults(objsrv.Faults{DownFor: spool.Duration(time.Hour)})
	})
	_, _, err := client.Watch(ctx, []string{spool.KindTerm}, 0)
	c.Assert(err, qt.IsNotNil)
	_, _, err = client.List(ctx, spool.KindTerm)
	c.Assert(err, qt.IsNotNil)
	server.SetFaults(objsrv.Faults{ErrorShare: 1})
	_, err = client.Put(ctx, termObject(`{}`, 0))
	var callError *objapi.CallError
	c.Assert(errors.As(err, &callError), qt.IsTrue)
	c.Assert(callError.Status, qt.Equals, 503)
	server.SetFaults(objsrv.Faults{Latency: spool.Duration(time.Second)})
	shortTimeout := newClient(c, server, objapi.WithTimeout(20*time.Millisecond))
	_, err = shortTimeout.Get(ctx, spool.KindTerm, "kyushu.renewals")
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
}

func TestStaleReads(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c)
	client := newClient(c, server)
	created, err := client.Put(ctx, termObject(`{"Term":1}`, 0))
	c.Assert(err, qt.IsNil)
	server.SetFaults(objsrv.Faults{StaleReads: 1})
	_, err = client.Put(ctx, termObject(`{"Term":2}`, created.Version))
	c.Assert(err, qt.IsNil)
	read, err := client.Get(ctx, spool.KindTerm, "kyushu.renewals")
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, created)
}

func TestTokensRestrictWrites(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c, objsrv.WithTokens(map[string][]string{
		"kyushu-token": {"Manifest/kyushu"},
		"proxy-token":  {"Term/*", "Quorum/*"},
	}))
	manifest := func(name string) spool.Object {
		return spool.Object{Kind: spool.KindManifest, Name: name, Body: json.RawMessage(`{}`)}
	}
	entry := spool.Object{Kind: spool.KindAudit, Name: "1", Body: json.RawMessage(`{}`)}
	kyushu := newClient(c, server, objapi.WithToken("kyushu-token"))
	_, err := kyushu.Put(ctx, manifest("kyushu"))
	c.Assert(err, qt.IsNil)
	stored, err := kyushu.Put(ctx, entry)
	c.Assert(err, qt.IsNil)
	for _, refused := range []spool.Object{manifest("kyushu2"), manifest("plata"), stored, termObject(`{}`, 0)} {
		_, err = kyushu.Put(ctx, refused)
		var callError *objapi.CallError
		c.Assert(errors.As(err, &callError), qt.IsTrue)
		c.Assert(callError.Status, qt.Equals, 403)
		c.Assert(callError.Refused(), qt.IsTrue)
	}
	proxy := newClient(c, server, objapi.WithToken("proxy-token"))
	_, err = proxy.Put(ctx, termObject(`{}`, 0))
	c.Assert(err, qt.IsNil)
	_, err = newClient(c, server).Put(ctx, termObject(`{}`, 0))
	c.Assert(err, qt.ErrorMatches, ".*status 401.*")
}

func TestMemberChangesAreDelayed(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := startServer(c)
	client := newClient(c, server, objapi.WithWatchWait(5*time.Second))
	server.SetMembers([]spool.Member{{VM: "vm1"}, {VM: "vm2"}})
	objects, version, err := client.List(ctx, spool.KindMember)
	c.Assert(err, qt.IsNil)
	c.Assert(objects, qt.HasLen, 2)
	server.SetMemberLag(50 * time.Millisecond)
	server.SetMembers([]spool.Member{{VM: "vm1"}})
	objects, _, err = client.List(ctx, spool.KindMember)
	c.Assert(err, qt.IsNil)
	c.Assert(objects, qt.HasLen, 2)
	changed, _, err := client.Watch(ctx, []string{spool.KindMember}, version)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.HasLen, 1)
	c.Assert(string(changed[0].Body), qt.Equals, "null")
	objects, _, err = client.List(ctx, spool.KindMember)
	c.Assert(err, qt.IsNil)
	c.Assert(objects, qt.HasLen, 1)
}

func TestBodySizeLimit(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := newClient(c, startServer(c))
	largestBody := `"` + strings.Repeat("x", 1<<20-2) + `"`
	_, err := client.Put(ctx, termObject(largestBody, 0))
	c.Assert(err, qt.IsNil)
	read, err := client.Get(ctx, spool.KindTerm, "kyushu.renewals")
	c.Assert(err, qt.IsNil)
	c.Assert(read.Body, qt.HasLen, 1<<20)
	_, err = client.Put(ctx, termObject(`"x`+largestBody[1:], 1))
	c.Assert(err, qt.ErrorMatches, ".*status 413.*")
}
