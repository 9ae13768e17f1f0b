package front_test

import (
	"net"
	"runtime"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

const (
	rowBytes     = 1000
	maxHeapBytes = 64 << 20
)

// peakHeapInUse returns the maximum of HeapInuse, in bytes, sampled every 10 ms while run executes.
func peakHeapInUse(run func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	var peak uint64
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// countRows reads all rows and returns their number.
func countRows(reader *pgconn.MultiResultReader) (rows int, err error) {
	for reader.NextResult() {
		for result := reader.ResultReader(); result.NextRow(); {
			rows++
		}
	}
	return rows, reader.Close()
}

func TestLargeResultInBoundedMemory(t *testing.T) {
	harness := newHarness(t)
	rows := 1 << 20
	if testing.Short() {
		rows = 1 << 16
	}
	client := harness.connect()
	peak := peakHeapInUse(func() {
		read, err := countRows(client.PgConn().Exec(t.Context(), "ROWS "+strconv.Itoa(rows)+" "+strconv.Itoa(rowBytes)))
		harness.Check(err, qt.IsNil)
		harness.Check(read, qt.Equals, rows)
	})
	harness.Assert(peak < maxHeapBytes, qt.IsTrue, qt.Commentf("%d bytes of heap in use", peak))
	t.Logf("%d rows of %d bytes, peak heap in use %d KB", rows, rowBytes, peak>>10)
}

func TestSlowReaderBlocksOnlyItself(t *testing.T) {
	harness := newHarness(t)
	slow, other := harness.connect(), harness.connect()
	peak := peakHeapInUse(func() {
		reader := slow.PgConn().Exec(t.Context(), "ROWS 1000000 1000")
		harness.Check(reader.NextResult(), qt.IsTrue)
		for range 200 {
			_, err := other.Exec(t.Context(), "APPEND a b")
			harness.Check(err, qt.IsNil)
		}
	})
	harness.Assert(peak < maxHeapBytes, qt.IsTrue, qt.Commentf("%d bytes of heap in use", peak))
	harness.Assert(slow.PgConn().Conn().Close(), qt.IsNil)
	harness.eventually(func() bool { return harness.dispatcher.Executors() == 0 })
}

// startConstantServer starts a server that accepts one connection and answers each read with the same rows.
func startConstantServer(c *qt.C, rows int) spool.ServerSpec {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	var answer []byte
	for range rows {
		answer, _ = (&pgproto3.DataRow{Values: [][]byte{make([]byte, 50)}}).Encode(answer)
	}
	answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT")}).Encode(answer)
	answer, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = socket.Close() }()
		backend := pgproto3.NewBackend(socket, socket)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.BackendKeyData{SecretKey: make([]byte, 4)})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		_ = backend.Flush()
		buffer := make([]byte, 1<<10)
		for {
			if _, err := socket.Read(buffer); err != nil {
				return
			}
			if _, err := socket.Write(answer); err != nil {
				return
			}
		}
	}()
	return spool.ServerSpec{Name: "constant", Address: listener.Addr().String()}
}

// allocationsPerQuery returns the number of allocations per query with a result of the given number of rows.
func allocationsPerQuery(t *testing.T, rows int) float64 {
	harness := newHarness(t)
	harness.dispatcher.Server = startConstantServer(harness.C, rows)
	hijacked, err := harness.connect().PgConn().Hijack()
	harness.Assert(err, qt.IsNil)
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	harness.Assert(err, qt.IsNil)
	buffer := make([]byte, 64<<10)
	var tail [6]byte
	return testing.AllocsPerRun(20, func() {
		_, err := hijacked.Conn.Write(query)
		harness.Check(err, qt.IsNil)
		for tail != [6]byte{'Z', 0, 0, 0, 5, 'I'} {
			n, err := hijacked.Conn.Read(buffer)
			if err != nil {
				harness.Check(err, qt.IsNil)
				return
			}
			copy(tail[:], buffer[max(0, n-len(tail)):n])
		}
		tail = [6]byte{}
	})
}

func TestRowsAreForwardedWithoutAllocation(t *testing.T) {
	const rows = 20000
	few, many := allocationsPerQuery(t, 1), allocationsPerQuery(t, rows)
	t.Logf("%.0f allocations for a result of 1 row, %.0f for %d rows", few, many, rows)
	qt.Assert(t, (many-few)/rows < 0.01, qt.IsTrue)
}
