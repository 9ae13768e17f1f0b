package core_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/pkg/spool"
)

// TestUnreadableTermIsNotOverwritten checks that a term record that can't be parsed is reported and never overwritten.
func TestUnreadableTermIsNotOverwritten(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(0, 3, 3)
	withGroup := manifest("kyushu", 5, false)
	withGroup.Groups = []spool.GroupSpec{{
		Name: "kyushu.db", Dialect: "register", Servers: []spool.ServerSpec{
			{Name: "kyushu.s1", Address: "127.0.0.1:5432", Domain: "d0", Slots: 3, Connections: 20},
		},
	}}
	cluster.putManifest(withGroup)
	broken := cluster.store(spool.Object{Kind: spool.KindTerm, Name: "kyushu.db", Body: []byte(`{"Term": "one"}`)})
	cluster.Advance(10 * time.Second)
	c.Assert(cluster.objects["Term/kyushu.db"].Version, qt.Equals, broken.Version)
	rejected := false
	for _, vm := range cluster.vms {
		for _, effect := range vm.core.Handle(core.ObjectRead{Object: broken}, cluster.Now()) {
			note, isNote := effect.(core.Note)
			rejected = rejected || isNote && note.Topic == core.TopicObjectRejected && note.Group == "kyushu.db"
			_, isWrite := effect.(core.WriteObject)
			c.Assert(isWrite, qt.IsFalse)
		}
	}
	c.Assert(rejected, qt.IsTrue)
}
