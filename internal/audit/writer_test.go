package audit_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/fake/objsrv"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
)

func startPlatform(c *qt.C) (*objsrv.Server, *objapi.Client) {
	server := objsrv.New()
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	client := objapi.New(server.URL(), objapi.WithTimeout(time.Second))
	c.Cleanup(client.Close)
	return server, client
}

func details(c *qt.C, platform spool.Platform) []string {
	entries, err := audit.List(context.Background(), platform)
	c.Assert(err, qt.IsNil)
	texts := []string{}
	for _, entry := range entries {
		texts = append(texts, entry.Detail)
	}
	return texts
}

func TestEntriesKeepOrderAcrossWriters(t *testing.T) {
	c := qt.New(t)
	_, client := startPlatform(c)
	ctx := context.Background()
	for _, actor := range []string{"fukuoka-1", "an/odd actor"} {
		writer := audit.NewWriter(client, actor)
		c.Assert(writer.Record(audit.Entry{Action: audit.ActionReject, Detail: actor + " 1"}), qt.IsTrue)
		c.Assert(writer.Record(audit.Entry{Action: audit.ActionReject, Detail: actor + " 2"}), qt.IsTrue)
		c.Assert(writer.Flush(ctx), qt.IsNil)
	}
	c.Assert(details(c, client), qt.DeepEquals, []string{
		"fukuoka-1 1", "fukuoka-1 2", "an/odd actor 1", "an/odd actor 2",
	})
}

func TestLostAnswersWriteEachEntryOnce(t *testing.T) {
	c := qt.New(t)
	server, client := startPlatform(c)
	writer := audit.NewWriter(client, "fukuoka-1")
	server.SetFaults(objsrv.Faults{LoseAnswers: 0.5})
	for range 20 {
		writer.Record(audit.Entry{Action: audit.ActionReject, Detail: "x"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c.Assert(writer.Flush(ctx), qt.IsNil)
	server.SetFaults(objsrv.Faults{})
	c.Assert(details(c, client), qt.HasLen, 20)
	c.Assert(writer.Lost(), qt.Equals, uint64(0))
}

func TestEntriesAreBufferedDuringOutage(t *testing.T) {
	c := qt.New(t)
	server, client := startPlatform(c)
	server.SetFaults(objsrv.Faults{DownFor: spool.Duration(300 * time.Millisecond)})
	writer := audit.NewWriter(client, "fukuoka-1", audit.WithCapacity(3))
	for range 5 {
		writer.Record(audit.Entry{Action: audit.ActionReject})
	}
	c.Assert(writer.Lost(), qt.Equals, uint64(2))
	c.Assert(writer.Pending(), qt.Equals, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c.Assert(writer.Flush(ctx), qt.IsNil)
	c.Assert(details(c, client), qt.HasLen, 3)
}

func TestRunStopsWithItsContext(t *testing.T) {
	c := qt.New(t)
	_, client := startPlatform(c)
	writer := audit.NewWriter(client, "fukuoka-1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		writer.Run(ctx)
		close(done)
	}()
	writer.Record(audit.Entry{Action: audit.ActionReject})
	deadline := time.Now().Add(10 * time.Second)
	for writer.Pending() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	c.Assert(details(c, client), qt.HasLen, 1)
}

func TestRecordOnceWritesEachNameOnce(t *testing.T) {
	c := qt.New(t)
	_, client := startPlatform(c)
	lost := []string{}
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, actor := range []string{"fukuoka-1", "kumamoto-1"} {
		writer := audit.NewWriter(client, actor, audit.WithCapacity(2),
			audit.WithLostHandler(func(name string) { lost = append(lost, name) }))
		for _, name := range []string{"Accept-kyushu-7", "Promote-kyushu.db-3", "Quorum-9"} {
			writer.RecordOnce(name, audit.Entry{At: at, Action: audit.ActionAccept, Detail: name})
		}
		c.Assert(writer.Flush(context.Background()), qt.IsNil)
		c.Assert(writer.Lost(), qt.Equals, uint64(1))
	}
	c.Assert(details(c, client), qt.DeepEquals, []string{"Accept-kyushu-7", "Promote-kyushu.db-3"})
	c.Assert(lost, qt.DeepEquals, []string{"Quorum-9", "Quorum-9"})
	entries, err := audit.List(context.Background(), client)
	c.Assert(err, qt.IsNil)
	c.Assert(entries[0].Actor, qt.Equals, "fukuoka-1")
	c.Assert(entries[0].At, qt.Equals, at)
}
