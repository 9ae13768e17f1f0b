package core_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/pkg/spool"
)

func manifestObject(c *qt.C, version spool.Version, keys ...spool.KeySpec) spool.Object {
	body, err := json.Marshal(spool.Manifest{
		Partner: "kyushu",
		Teams:   []spool.TeamSpec{{Name: "kyushu.office", RatePerSecond: 1, Burst: 1}},
		Keys:    keys,
	})
	c.Assert(err, qt.IsNil)
	return spool.Object{Kind: spool.KindManifest, Name: "kyushu", Version: version, Body: body}
}

func key(name string, salt byte) spool.KeySpec {
	verifier := spool.Verifier{
		Iterations: 4096, Salt: []byte{salt, 1, 2, 3, 4, 5, 6, 7},
		StoredKey: make([]byte, 32), ServerKey: make([]byte, 32),
	}
	return spool.KeySpec{Name: name, Team: "kyushu.office", Verifier: verifier.String()}
}

func TestWithdrawnKeysAreReported(t *testing.T) {
	c := qt.New(t)
	proxy := core.New(spool.Member{VM: "vm1", Domain: "d1"}, 0)
	first := manifestObject(c, 3, key("kyushu.gone", 1), key("kyushu.kept", 1), key("kyushu.new-secret", 1), key("kyushu.off", 1))
	proxy.Handle(core.ObjectsRead{Objects: []spool.Object{first}, Version: 3}, 0)
	off := key("kyushu.off", 1)
	off.Withdrawn = true
	second := manifestObject(c, 4, key("kyushu.kept", 1), key("kyushu.new-secret", 2), off)
	noted := map[string]spool.Version{}
	for _, effect := range proxy.Handle(core.ObjectsChanged{Objects: []spool.Object{second}}, spool.Instant(time.Second)) {
		if note, isNote := effect.(core.Note); isNote && note.Topic == core.TopicKeyWithdrawn {
			noted[note.Key] = note.Version
		}
	}
	c.Assert(noted, qt.DeepEquals, map[string]spool.Version{
		"kyushu.gone": 4, "kyushu.new-secret": 4, "kyushu.off": 4,
	})
}
