package node_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEachProxyServesReadsAndWrites(t *testing.T) {
	fleet := newFleet(t, nil)
	c := fleet.c
	for i := range fleet.proxies {
		conn := fleet.mustConnect(i)
		key := fmt.Sprintf("key%d", i)
		_, err := conn.Exec(context.Background(), "PUT $1 $2", key, "value")
		c.Assert(err, qt.IsNil)
		value, err := getValue(conn, key)
		c.Assert(err, qt.IsNil)
		c.Assert(value, qt.Equals, "value")
		token := conn.PgConn().ParameterStatus("corianderspool.token")
		c.Assert(token, qt.Not(qt.Equals), "")
		other := fleet.mustConnect((i+1)%3, "corianderspool.token", token)
		value, err = getValue(other, key)
		c.Assert(err, qt.IsNil)
		c.Assert(value, qt.Equals, "value")
	}
}
