package back_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

func TestExchangeResults(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, startServer(c, regsrv.WithPrimary(3)))
	for i, example := range []struct {
		text, kinds string
		status      byte
		position    spool.Position
	}{
		{"APPEND k 1", "C", 'I', 1},
		{"LIST k", "TDC", 'I', 0},
		{"BEGIN", "C", 'T', 0},
		{"APPEND k 2", "C", 'T', 0},
		{"BOOK k", "E", 'E', 0},
		{"ROLLBACK", "C", 'I', 0},
		{"", "I", 'I', 0},
	} {
		sink := &recordingSink{}
		result, err := conn.Exchange(timeoutContext(c), query(example.text), sink)
		c.Assert(err, qt.IsNil)
		c.Assert(sink.kinds, qt.Equals, example.kinds, qt.Commentf("cycle %d", i))
		c.Assert(sink.writes, qt.Equals, 1)
		c.Assert(result.TxStatus, qt.Equals, example.status)
		c.Assert(result.Token.Position, qt.Equals, example.position)
		c.Assert(result.Sent, qt.IsTrue)
	}
}

func TestPreparedStatementsAreParsedOnDemand(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, startServer(c, regsrv.WithPrimary(1)), back.WithPreparedLimit(2))
	parse := func(name, text string) *spool.Cycle {
		return newCycle(&pgproto3.Parse{Name: name, Query: text}, &pgproto3.Bind{PreparedStatement: name},
			&pgproto3.Execute{}, &pgproto3.Sync{})
	}
	for range 3 {
		for _, name := range []string{"a", "b", "c", "a", "d"} {
			for _, example := range []struct {
				cycle *spool.Cycle
				kinds string
			}{{bindNamed(name, "SELECT "+name), "2DC"}, {parse(name, "SELECT "+name), "12DC"}} {
				sink := &recordingSink{}
				_, err := conn.Exchange(timeoutContext(c), example.cycle, sink)
				c.Assert(err, qt.IsNil)
				c.Assert(sink.codes, qt.HasLen, 0)
				c.Assert(sink.kinds, qt.Equals, example.kinds)
			}
		}
	}
	sink := &recordingSink{}
	_, err := conn.Exchange(timeoutContext(c), bindNamed("bad", "'"), sink)
	c.Assert(err, qt.IsNil)
	c.Assert(sink.kinds, qt.Equals, "E")
	_, err = conn.Exchange(timeoutContext(c), bindNamed("a", "SELECT a"), &recordingSink{})
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Broken(), qt.IsFalse)
}

func TestUnknownStatementIsPreparedAgain(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, startServer(c, regsrv.WithPrimary(1)))
	run := func(cycle *spool.Cycle) string {
		sink := &recordingSink{}
		_, err := conn.Exchange(timeoutContext(c), cycle, sink)
		c.Assert(err, qt.IsNil)
		return sink.kinds
	}
	c.Assert(run(bindNamed("a", "SELECT 1")), qt.Equals, "2DC")
	c.Assert(run(query("DISCARD ALL")), qt.Equals, "C")
	c.Assert(run(bindNamed("a", "SELECT 1")), qt.Equals, "E")
	c.Assert(run(bindNamed("a", "SELECT 1")), qt.Equals, "2DC")
}

func TestFlushReadsAllReplies(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, startServer(c, regsrv.WithPrimary(1)))
	for name, example := range map[string]struct{ text, kinds string }{
		"good": {"SELECT 1", "12TDC"},
		"bad":  {"APPEND", "12nE"},
	} {
		sink := &recordingSink{}
		result, err := conn.Exchange(timeoutContext(c), newCycle(
			&pgproto3.Parse{Name: name, Query: example.text}, &pgproto3.Bind{PreparedStatement: name},
			&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Flush{}), sink)
		c.Assert(err, qt.IsNil)
		c.Assert(result.TxStatus, qt.Equals, byte(0))
		c.Assert(sink.kinds, qt.Equals, example.kinds)
		c.Assert(conn.Reset(timeoutContext(c)), qt.IsNil)
		c.Assert(conn.TxStatus(), qt.Equals, byte('I'))
	}
}

func TestReadOnlyErrorIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	conn := dial(c, startServer(c))
	for _, cycle := range []*spool.Cycle{query("PUT a b"), bindNamed("p", "PUT a b"), query("SELECT 1; PUT a b")} {
		sink := &recordingSink{}
		result, err := conn.Exchange(timeoutContext(c), cycle, sink)
		refusal := &spool.Refusal{}
		c.Assert(errors.As(err, &refusal), qt.IsTrue)
		c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
		c.Assert(refusal.Code, qt.Equals, spool.CodeReadOnly)
		c.Assert(result.TxStatus, qt.Equals, byte('I'))
		c.Assert(sink.kinds, qt.Equals, "")
		c.Assert(conn.Broken(), qt.IsFalse)
	}
	sink := &recordingSink{}
	_, err := conn.Exchange(timeoutContext(c), query("BEGIN"), sink)
	c.Assert(err, qt.IsNil)
	_, err = conn.Exchange(timeoutContext(c), query("PUT a b"), sink)
	c.Assert(err, qt.IsNil)
	c.Assert(sink.kinds, qt.Equals, "CE")
	c.Assert(conn.Reset(timeoutContext(c)), qt.IsNil)
}

func TestVerdictsOfLostConnections(t *testing.T) {
	type messages = []pgproto3.BackendMessage
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("1")}}
	commit := &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}
	for _, example := range []struct {
		name    string
		answer  messages
		verdict spool.Verdict
		code    string
	}{
		{"connection closed", nil, spool.VerdictUnknown, spool.CodeOutcomeUnknown},
		{"connection closed after a row", messages{row}, spool.VerdictUnknown, spool.CodeOutcomeUnknown},
		{"shutdown", messages{errorMessage("FATAL", "57P01")}, spool.VerdictNotRun, "57P01"},
		{"starting", messages{errorMessage("FATAL", "57P03")}, spool.VerdictNotRun, "57P03"},
		{"crash", messages{errorMessage("FATAL", "57P02")}, spool.VerdictUnknown, spool.CodeOutcomeUnknown},
		{"shutdown after an answer", messages{complete, errorMessage("FATAL", "57P01")}, spool.VerdictUnknown, spool.CodeOutcomeUnknown},
		{"read only", messages{complete, errorMessage("ERROR", "25006"), idle}, spool.VerdictNotRun, "25006"},
		{"read only after a commit", messages{commit, errorMessage("ERROR", "25006"), idle}, spool.VerdictAnswered, "25006"},
		{"response to another message", messages{&pgproto3.BindComplete{}, complete, idle}, spool.VerdictUnknown, spool.CodeOutcomeUnknown},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			server, _ := startScripted(c, example.answer)
			conn := dial(c, server)
			sink := &recordingSink{}
			_, err := conn.Exchange(timeoutContext(c), query("SELECT 1"), sink)
			if example.verdict == spool.VerdictAnswered {
				c.Assert(err, qt.IsNil)
				c.Assert(sink.codes, qt.DeepEquals, []string{example.code})
				return
			}
			refusal := &spool.Refusal{}
			c.Assert(errors.As(err, &refusal), qt.IsTrue)
			c.Assert(refusal.Verdict, qt.Equals, example.verdict)
			c.Assert(refusal.Code, qt.Equals, example.code)
			c.Assert(conn.Broken(), qt.Equals, example.code != spool.CodeReadOnly)
		})
	}
}

func TestClosedConnectionIsDetectedBeforeSending(t *testing.T) {
	c := qt.New(t)
	for _, last := range [][]pgproto3.BackendMessage{{complete, idle, errorMessage("FATAL", "57P01")}, {complete, idle}} {
		server, sent := startScripted(c, last)
		conn := dial(c, server, back.WithCancelTimeout(time.Second))
		_, err := conn.Exchange(timeoutContext(c), query("SELECT 1"), &recordingSink{})
		c.Assert(err, qt.IsNil)
		<-sent
		if len(last) == 2 {
			_, _ = conn.Exchange(timeoutContext(c), query("SELECT 2"), &recordingSink{})
			<-sent
		}
		time.Sleep(20 * time.Millisecond)
		result, err := conn.Exchange(timeoutContext(c), query("SELECT 3"), &recordingSink{})
		refusal := &spool.Refusal{}
		c.Assert(errors.As(err, &refusal), qt.IsTrue)
		c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
		c.Assert(result.Sent, qt.IsFalse)
	}
}

func TestCanceledConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	server := startServer(c, regsrv.WithPrimary(1))
	conn := dial(c, server)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	sink := &recordingSink{}
	_, err := conn.Exchange(ctx, query("SLEEP 60000"), sink)
	c.Assert(err, qt.IsNil)
	c.Assert(sink.codes, qt.DeepEquals, []string{"57014"})
	c.Assert(conn.Broken(), qt.IsTrue)
	_, err = conn.Exchange(ctx, query("SELECT 1"), sink)
	refusal := &spool.Refusal{}
	c.Assert(errors.As(err, &refusal), qt.IsTrue)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
}

func TestCopyIsRefused(t *testing.T) {
	for name, script := range map[string][][]pgproto3.BackendMessage{
		"in": {{&pgproto3.CopyInResponse{}}, {errorMessage("ERROR", "57014"), idle}},
		"out": {{
			&pgproto3.CopyOutResponse{}, &pgproto3.CopyData{Data: []byte("a")}, &pgproto3.CopyDone{}, complete, idle,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, _ := startScripted(c, script...)
			conn := dial(c, server)
			sink := &recordingSink{}
			_, err := conn.Exchange(timeoutContext(c), query("COPY"), sink)
			c.Assert(err, qt.IsNil)
			c.Assert(sink.codes, qt.DeepEquals, []string{spool.CodeUnsupported})
			c.Assert(sink.kinds, qt.Equals, "E")
			c.Assert(conn.Broken(), qt.IsTrue)
		})
	}
}

func TestChangedParametersAreReset(t *testing.T) {
	c := qt.New(t)
	changed := &pgproto3.ParameterStatus{Name: "TimeZone", Value: "Asia/Tokyo"}
	server, sent := startScripted(c, []pgproto3.BackendMessage{changed, complete, idle}, []pgproto3.BackendMessage{complete, idle})
	conn := dial(c, server)
	sink := &recordingSink{}
	_, err := conn.Exchange(timeoutContext(c), query("SELECT 1"), sink)
	c.Assert(err, qt.IsNil)
	c.Assert(sink.kinds, qt.Equals, "SC")
	<-sent
	c.Assert(conn.Reset(timeoutContext(c)), qt.IsNil)
	c.Assert(string(<-sent), qt.Contains, "DISCARD ALL")
}
