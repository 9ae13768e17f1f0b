package bulk

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

// configText returns a configuration with a number of routes in which few texts repeat.
func configText(version, routes int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var text bytes.Buffer
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r%08x%d","database":"d%06x","type":"bounded_staleness","service":"s%05x","timeout-ms":%d,`+
			`"target-latency-ms":%d,"priority":%d,"max-staleness-ms":%d,"public":true},`, random.Uint32(), i, random.Uint32()>>8,
			random.IntN(200), 500+random.IntN(3000), 200+random.IntN(2000), random.IntN(3), random.IntN(5000))
	}
	text.WriteString(`]}`)
	return text.Bytes()
}

// changed returns a body with a route added in the middle.
func changed(body []byte) []byte {
	const added = `{"name":"added","database":"d0added","type":"primary","service":"s00001","timeout-ms":1000},`
	middle := bytes.Index(body[len(body)/2:], []byte(`{"name"`)) + len(body)/2
	return bytes.Join([][]byte{body[:middle], []byte(added), body[middle:]}, nil)
}

// TestPackedSizes guards against a small change that costs a large part of the body, also in one that is larger than the window of
// the compression, and bounds the sizes that the tests of internal/core/spread assume.
func TestPackedSizes(t *testing.T) {
	c := qt.New(t)
	for _, size := range []struct{ routes, whole, delta int }{{3152, 90_000, 600}, {5000, 140_000, 600}, {16_000, 450_000, 1800}} {
		old, body := configText(7, size.routes), changed(configText(8, size.routes))
		whole, err := pack(9, body, nil)
		c.Assert(err, qt.IsNil)
		delta, err := pack(9, body, old)
		c.Assert(err, qt.IsNil)
		t.Logf("%d routes: %d bytes, whole %d, delta %d", size.routes, len(body), len(whole), len(delta))
		c.Check(len(whole) <= size.whole, qt.IsTrue, qt.Commentf("%d", len(whole)))
		c.Check(len(delta) <= size.delta, qt.IsTrue, qt.Commentf("%d", len(delta)))
		for base, packed := range map[string][]byte{"": whole, string(old): delta} {
			stored, unpacked, err := unpack(packed, len(body), []byte(base))
			c.Assert(err, qt.IsNil)
			c.Assert(stored, qt.Equals, spool.Version(9))
			c.Assert(bytes.Equal(unpacked, body), qt.IsTrue)
		}
	}
}

// TestUnpackReversesPack guards against bodies that the compression changes, for any body and base, and against a panic on
// packed bytes that were changed on their way.
func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SliceOfN(rapid.Byte(), 0, 200)
		base := bytes.Repeat(segment.Draw(t, "base"), rapid.IntRange(0, 4000).Draw(t, "repeats"))
		body := append(append(segment.Draw(t, "prefix"), base...), segment.Draw(t, "suffix")...)
		packed, err := pack(3, body, base)
		if err != nil {
			t.Fatal(err)
		}
		stored, unpacked, err := unpack(packed, len(body), base)
		if err != nil || stored != 3 || !bytes.Equal(unpacked, body) {
			t.Fatalf("%v: version %d, %d bytes of %d", err, stored, len(unpacked), len(body))
		}
		broken := bytes.Clone(packed)
		broken[rapid.IntRange(0, len(broken)-1).Draw(t, "index")] ^= rapid.ByteRange(1, 255).Draw(t, "change")
		stored, unpacked, err = unpack(broken, len(body), base)
		if err == nil && contentHash(stored, unpacked) == contentHash(3, body) && !bytes.Equal(unpacked, body) {
			t.Fatal("changed body has the same hash")
		}
	})
}

// TestUnpackRefusesFalseSizes guards against memory spent on what a false source announces.
func TestUnpackRefusesFalseSizes(t *testing.T) {
	c := qt.New(t)
	packed, err := pack(3, []byte("body"), nil)
	c.Assert(err, qt.IsNil)
	for _, size := range []int{0, 3, 5, maxBodyBytes + 1} {
		_, _, err := unpack(packed, size, nil)
		c.Check(err, qt.IsNotNil, qt.Commentf("%d", size))
	}
	_, _, err = unpack(packed[:len(packed)-1], 4, nil)
	c.Check(err, qt.IsNotNil)
	_, _, err = unpack(nil, 4, nil)
	c.Check(err, qt.IsNotNil)
}
