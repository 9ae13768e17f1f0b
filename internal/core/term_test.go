package core_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/pkg/spool"
)

// TestUnreadableTermIsNotOverwritten gives a group a record that nobody can read and expects no write over it.
func TestUnreadableTermIsNotOverwritten(t *testing.T) {
	c := qt.New(t)
	world := newWorld(0, 3, 3)
	withGroup := manifest("kyushu", 5, false)
	withGroup.Groups = []spool.GroupSpec{{
		Name: "kyushu.db", Dialect: "register", Servers: []spool.ServerSpec{
			{Name: "kyushu.s1", Address: "127.0.0.1:5432", Domain: "d0", Slots: 3, Connections: 20},
		},
	}}
	world.push(withGroup)
	broken := world.store(spool.Object{Kind: spool.KindTerm, Name: "kyushu.db", Body: []byte(`{"Term": "one"}`)})
	world.Advance(10 * time.Second)
	c.Assert(world.objects["Term/kyushu.db"].Version, qt.Equals, broken.Version)
	noted := false
	for _, vm := range world.vms {
		for _, effect := range vm.core.Handle(core.ObjectRead{Object: broken}, world.Now()) {
			note, isNote := effect.(core.Note)
			noted = noted || isNote && note.Topic == core.TopicRejected && note.Group == "kyushu.db"
			_, isWrite := effect.(core.WriteObject)
			c.Assert(isWrite, qt.IsFalse)
		}
	}
	c.Assert(noted, qt.IsTrue)
}
