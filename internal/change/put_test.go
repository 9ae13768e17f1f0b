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

// scriptedPlatform stores one object and follows a script with one step for each call of Put.
type scriptedPlatform struct {
	spool.Platform
	stored     spool.Object
	staleReads int // remaining reads that return the initial object
	initial    spool.Object
	script     []step
	puts       int
	writes     int
}

type step struct {
	before     spool.Object // written by another writer first if it has a body
	dropAnswer bool         // the change takes effect but its answer is lost
	noEffect   bool         // the change has no effect and its answer is lost
	lateEffect bool         // as noEffect, but the change takes effect right before the next call of Put
}

var errLost = errors.New("answer lost")

func (platform *scriptedPlatform) Put(_ context.Context, object spool.Object) (spool.Object, error) {
	if platform.step(platform.puts - 1).lateEffect {
		platform.write(object)
	}
	step := platform.step(platform.puts)
	platform.puts++
	if step.before.Body != nil {
		platform.stored = step.before
	}
	if step.noEffect || step.lateEffect {
		return spool.Object{}, errLost
	}
	if object.Version != platform.stored.Version {
		return spool.Object{}, spool.ErrConflict
	}
	platform.write(object)
	if step.dropAnswer {
		return spool.Object{}, errLost
	}
	return platform.stored, nil
}

func (platform *scriptedPlatform) step(index int) step {
	if index < 0 || index >= len(platform.script) {
		return step{}
	}
	return platform.script[index]
}

func (platform *scriptedPlatform) write(object spool.Object) {
	platform.writes++
	object.Version++
	platform.stored = object
}

func (platform *scriptedPlatform) Get(context.Context, string, string) (spool.Object, error) {
	if platform.staleReads > 0 {
		platform.staleReads--
		return platform.initial, nil
	}
	if platform.stored.Version == 0 {
		return spool.Object{}, spool.ErrNotFound
	}
	return platform.stored, nil
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
		{name: "NoFault", version: 4, writes: 1},
		{name: "AnswerLost", script: []step{{dropAnswer: true}}, version: 4, writes: 1},
		{name: "AnswerLostStaleRead", script: []step{{dropAnswer: true}}, stale: 2, version: 4, writes: 1},
		{name: "NoEffect", script: []step{{noEffect: true}, {noEffect: true}}, version: 4, writes: 1},
		{name: "LateEffect", script: []step{{lateEffect: true}}, version: 4, writes: 1},
		{name: "Conflict", script: []step{{before: object(7, `"other"`)}}, conflict: 7},
		{name: "ConflictStaleRead", script: []step{{before: object(7, `"other"`)}}, stale: 2, conflict: 7},
		{name: "OverwrittenAfterLoss", script: []step{{noEffect: true, before: object(7, `"other"`)}}, conflict: 7},
		{name: "SameChangeBySomeoneElse", script: []step{{before: object(7, ` "mine"`)}}, version: 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			platform := &scriptedPlatform{stored: object(3, `"old"`), script: test.script, staleReads: test.stale}
			platform.initial = platform.stored
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

func TestPutReportsUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	platform := &scriptedPlatform{stored: object(3, `"old"`), script: make([]step, 100)}
	for i := range platform.script {
		platform.script[i].noEffect = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := change.Put(ctx, platform, clock.Real{}, object(3, `"mine"`))
	var unknown *change.UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(err, qt.ErrorIs, errLost)
}
