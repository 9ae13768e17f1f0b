package change_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

// scripted stores one object and follows a script: one entry for each call of Put.
type scripted struct {
	spool.Platform
	stored spool.Object
	stale  int // reads that still show the object as it was at first
	first  spool.Object
	script []step
	puts   int
	writes int
}

type step struct {
	before spool.Object // written by someone else first if it has a body
	lose   bool         // the change takes effect but its answer is lost
	fail   bool         // no effect, and the answer does not tell
	late   bool         // as fail, but the change takes effect right before the next call of Put
}

var errLost = errors.New("answer lost")

func (scripted *scripted) Put(_ context.Context, object spool.Object) (spool.Object, error) {
	if scripted.step(scripted.puts - 1).late {
		scripted.write(object)
	}
	step := scripted.step(scripted.puts)
	scripted.puts++
	if step.before.Body != nil {
		scripted.stored = step.before
	}
	if step.fail || step.late {
		return spool.Object{}, errLost
	}
	if object.Version != scripted.stored.Version {
		return spool.Object{}, spool.ErrConflict
	}
	scripted.write(object)
	if step.lose {
		return spool.Object{}, errLost
	}
	return scripted.stored, nil
}

func (scripted *scripted) step(index int) step {
	if index < 0 || index >= len(scripted.script) {
		return step{}
	}
	return scripted.script[index]
}

func (scripted *scripted) write(object spool.Object) {
	scripted.writes++
	object.Version++
	scripted.stored = object
}

func (scripted *scripted) Get(context.Context, string, string) (spool.Object, error) {
	if scripted.stale > 0 {
		scripted.stale--
		return scripted.first, nil
	}
	if scripted.stored.Version == 0 {
		return spool.Object{}, spool.ErrNotFound
	}
	return scripted.stored, nil
}

func object(version spool.Version, body string) spool.Object {
	return spool.Object{Kind: spool.KindManifest, Name: "kyushu", Version: version, Body: json.RawMessage(body)}
}

func TestPut(t *testing.T) {
	tests := []struct {
		name     string
		script   []step
		stale    int
		version  spool.Version
		conflict spool.Version
		writes   int
	}{
		{name: "Calm", version: 4, writes: 1},
		{name: "AnswerLost", script: []step{{lose: true}}, version: 4, writes: 1},
		{name: "AnswerLostStaleRead", script: []step{{lose: true}}, stale: 2, version: 4, writes: 1},
		{name: "NoEffect", script: []step{{fail: true}, {fail: true}}, version: 4, writes: 1},
		{name: "LateEffect", script: []step{{late: true}}, version: 4, writes: 1},
		{name: "Conflict", script: []step{{before: object(7, `"other"`)}}, conflict: 7},
		{name: "ConflictStaleRead", script: []step{{before: object(7, `"other"`)}}, stale: 2, conflict: 7},
		{name: "OverwrittenAfterLoss", script: []step{{fail: true, before: object(7, `"other"`)}}, conflict: 7},
		{name: "SameChangeBySomeoneElse", script: []step{{before: object(7, ` "mine"`)}}, version: 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			platform := &scripted{stored: object(3, `"old"`), script: test.script, stale: test.stale}
			platform.first = platform.stored
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			stored, err := change.Put(ctx, platform, clock.Real{}, object(3, `"mine"`))
			c.Assert(platform.writes, qt.Equals, test.writes)
			if test.conflict == 0 {
				c.Assert(err, qt.IsNil)
				c.Assert(stored.Version, qt.Equals, test.version)
				return
			}
			var conflict *change.ConflictError
			c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(conflict.StoredVersion, qt.Equals, test.conflict)
			c.Assert(err, qt.ErrorIs, spool.ErrConflict)
		})
	}
}

func TestPutSaysThatOutcomeIsUnknown(t *testing.T) {
	c := qt.New(t)
	platform := &scripted{stored: object(3, `"old"`), script: make([]step, 100)}
	for i := range platform.script {
		platform.script[i].fail = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := change.Put(ctx, platform, clock.Real{}, object(3, `"mine"`))
	var unknown *change.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(err, qt.ErrorIs, errLost)
}
