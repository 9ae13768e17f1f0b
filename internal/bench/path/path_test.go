package path_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/bench/path"
)

func TestRunReportsEachNumberOfConnections(t *testing.T) {
	c := qt.New(t)
	testbed, err := path.NewTestbed()
	c.Assert(err, qt.IsNil)
	defer testbed.Close()
	report, err := path.Run(t.Context(), path.Options{
		Direct: testbed.Direct(), Proxied: testbed.Proxied(), Query: "SELECT 1",
		Connections: []int{1, 4}, Pairs: 2, Duration: 20 * time.Millisecond,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Rows, qt.HasLen, 2)
	for _, row := range report.Rows {
		c.Assert(row.DirectPerSecond > 0 && row.ProxiedPerSecond > 0 && row.Ratio > 0, qt.IsTrue)
		c.Assert(row.ProxiedHighestMicros >= row.ProxiedMedianMicros, qt.IsTrue)
	}
	var table bytes.Buffer
	c.Assert(report.WriteTable(&table), qt.IsNil)
	c.Assert(bytes.Count(table.Bytes(), []byte("\n")), qt.Equals, 3)
	_, err = path.Run(t.Context(), path.Options{
		Direct: testbed.Direct(), Proxied: testbed.Proxied(), Query: "BOOK",
		Connections: []int{1}, Pairs: 1, Duration: time.Millisecond,
	})
	c.Assert(err, qt.IsNotNil)
}
