package linesrv_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/linesrv"
)

// TestRestartKeepsAddressWhileOthersReadIt guards against a data race: the handler of a promotion writes the servers' entries while
// a test starts one of them again.
func TestRestartKeepsAddressWhileOthersReadIt(t *testing.T) {
	c := qt.New(t)
	group, err := linesrv.NewGroup("g1", "a", "b")
	c.Assert(err, qt.IsNil)
	defer group.Close()
	server := group.Server("b")
	before := server.Address
	server.Kill()
	read := make(chan string, 1)
	go func() { read <- server.Address }()
	c.Assert(server.Start(), qt.IsNil)
	c.Assert(<-read, qt.Equals, before)
	c.Assert(server.Address, qt.Equals, before)
}
