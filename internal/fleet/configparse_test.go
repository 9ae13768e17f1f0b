package fleet

import (
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// slowParser counts the parses of configurations; the first one waits until released.
type slowParser struct {
	spool.Adapter
	parses  atomic.Int32
	release chan struct{}
}

func (parser *slowParser) ParseConfig(object spool.Object) (*spool.FleetConfig, error) {
	parser.parses.Add(1)
	<-parser.release
	return parser.Adapter.ParseConfig(object)
}

func configObject(version spool.Version, text string) spool.Object {
	return spool.Object{Kind: "config", Name: "main", Version: version, Body: json.RawMessage(text)}
}

// waitForOffers waits until a number of configurations are parsed or wait for it.
func (proxy *Proxy) waitForOffers(c *qt.C, count int) {
	deadline := time.Now().Add(5 * time.Second)
	for {
		proxy.mutex.Lock()
		waiting := len(proxy.offered.waiting)
		proxy.mutex.Unlock()
		if waiting == count {
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d wait", waiting))
		time.Sleep(time.Millisecond)
	}
}

// TestNoConfigurationIsParsedTwice guards against parses that a VM with a tenth of a core has no time for: of a version that
// arrives on several ways, of one that is overtaken while it waits, and of one that was rejected or is older.
func TestNoConfigurationIsParsedTwice(t *testing.T) {
	c := qt.New(t)
	settings := spool.FleetSettings{VM: "vm1", MemoryBytes: 1 << 30}
	parser := &slowParser{Adapter: platform.New(settings, nil), release: make(chan struct{})}
	proxy := New(settings, parser, clock.Real{}, zap.NewNop())
	var waiting sync.WaitGroup
	put := func(object spool.Object, expected ...configResult) {
		waiting.Go(func() {
			result, _ := proxy.putConfig(object)
			c.Check(expected, qt.Contains, result, qt.Commentf("version %d", object.Version))
		})
	}
	put(configObject(11, `{"version":1}`), configApplied)
	for parser.parses.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for version := spool.Version(12); version <= 15; version++ {
		put(configObject(version, `{"version":2}`), configOvertaken, configOld)
	}
	proxy.waitForOffers(c, 4)
	for range 4 {
		put(configObject(16, `{"version":3}`), configApplied, configOld)
	}
	proxy.waitForOffers(c, 8)
	close(parser.release)
	waiting.Wait()
	c.Check(parser.parses.Load(), qt.Equals, int32(2))
	c.Check(proxy.currentRevision(), qt.Equals, uint64(3))
	for range 3 {
		result, err := proxy.putConfig(configObject(17, `{`))
		c.Check(result, qt.Equals, configMalformed)
		c.Check(err, qt.IsNotNil)
	}
	c.Check(parser.parses.Load(), qt.Equals, int32(3))
	for range 3 {
		result, err := proxy.putConfig(configObject(18, `{"version":2,"limits":{}}`))
		c.Check(result, qt.Equals, configOld)
		c.Check(err, qt.IsNil)
	}
	c.Check(parser.parses.Load(), qt.Equals, int32(4))
	c.Check(proxy.spread.Sample().InEffect, qt.Equals, uint64(3))
}

// TestFetchedConfigurationMustHaveItsVersion guards against a source that announces a version which its body does not have.
func TestFetchedConfigurationMustHaveItsVersion(t *testing.T) {
	c := qt.New(t)
	settings := spool.FleetSettings{VM: "vm1", MemoryBytes: 1 << 30}
	proxy := New(settings, platform.New(settings, nil), clock.Real{}, zap.NewNop())
	c.Assert(proxy.applyFetched(configObject(5, `{"version":1}`), 1, false), qt.IsNil)
	c.Assert(proxy.applyFetched(configObject(4, `{"version":2}`), 2, false), qt.IsNil, qt.Commentf("the version decides"))
	c.Assert(proxy.applyFetched(configObject(6, `{"version":1}`), 1, false), qt.IsNil)
	c.Assert(proxy.applyFetched(configObject(7, `{"version":3}`), 9, false), qt.ErrorMatches, "version 3 in force .*")
	var syntax *json.SyntaxError
	c.Assert(errors.As(proxy.applyFetched(configObject(8, `{`), 9, false), &syntax), qt.IsTrue)
	c.Assert(proxy.currentRevision(), qt.Equals, uint64(3))
}
