package engine_test

import (
	"testing"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// TestStatementAfterARollbackOfTheProxy guards against an answer that promises nothing, where the transaction provably left
// nothing behind: callers repeat a transaction only after a promise. The proxy rolled it back while no statement was under way.
func TestStatementAfterARollbackOfTheProxy(t *testing.T) {
	fixture := newFixture(t)
	withdrawn, idle := fixture.connect("primary", "key-red"), fixture.connect("primary", "key-blue")
	withdrawn.expect("BEGIN", "DONE", "T")
	withdrawn.expect("WRITE item one", "DONE", "T")
	config := fixture.config
	config.Keys = map[string]spool.Team{"key-blue": "blue"}
	config.TxIdle = 100 * time.Millisecond
	fixture.setConfig(config)
	time.Sleep(50 * time.Millisecond)
	withdrawn.expect("WRITE item two", "ABORTED", "E")
	withdrawn.expect("WRITE item three", "MALFORMED", "E")
	withdrawn.expect("ROLLBACK", "DONE", "I")

	idle.expect("BEGIN", "DONE", "T")
	idle.expect("WRITE item four", "DONE", "T")
	time.Sleep(300 * time.Millisecond)
	idle.expect("WRITE item five", "ABORTED", "E")
	idle.expect("COMMIT", "ABORTED", "I")
	if values := fixture.group.WrittenValues("item"); len(values) > 0 {
		t.Fatalf("values %v were kept", values)
	}
}
