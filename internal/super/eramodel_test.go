package super_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"slices"

	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
)

// tokenRecord is the stored object of a model store; the zero value is a missing object.
type tokenRecord struct {
	revision uint64
	body     string // without the time, so that equal states compare equal
}

// modelStore is a store with one object that falls back to earlier copies of it.
type modelStore struct {
	era      spool.Era
	revision uint64
	record   tokenRecord
	copies   []storeCopy // states before the newest writes, newest last
}

type storeCopy struct {
	revision uint64
	record   tokenRecord
}

func (store *modelStore) write(body string) {
	store.copies = append(store.copies, storeCopy{store.revision, store.record})
	store.revision++
	store.record = tokenRecord{store.revision, body}
}

func (store *modelStore) fallBack(index int) {
	restored := store.copies[index]
	store.revision, store.record, store.copies = restored.revision, restored.record, store.copies[:index]
	store.era++
}

// modelCall is a call of a holder: on its way to the store, or answered and on its way back.
type modelCall struct {
	verb     string
	version  spool.Version
	body     string
	answered bool
	era      spool.Era // of the answer
	record   tokenRecord
	err      error
}

// process applies the call to the store, whose answer then is on its way.
func (call *modelCall) process(store *modelStore) {
	call.answered, call.era, call.err = true, store.era, nil
	missing := store.record == tokenRecord{}
	switch {
	case call.verb == "get" && missing, call.verb == "put" && missing:
		call.err = spool.ErrNotFound
	case call.verb == "create" && !missing, call.verb == "put" && call.version.Revision() != store.record.revision:
		call.err = spool.ErrConflict
	case call.verb != "get":
		store.write(call.body)
	}
	call.record = store.record
}

// holder is a proxy that acquires tokens; its embedded store follows the rules of the platform's client.
type holder struct {
	spool.Store
	model   *eraModel
	vm      spool.VM
	known   spool.Era
	call    *modelCall // nil if none is in progress
	gets    int        // in the current acquisition, which tells the attempt
	floor   uint64     // greatest token returned to any holder before the current acquisition
	left    int        // acquisitions left
	nonces  uint64     // drawn so far
	yield   func(struct{}) bool
	resume  func() (struct{}, bool)
	stop    func()
	lost    bool // the answer of the call is lost
	lastErr bool // the newest acquisition failed
}

// errStopped unwinds the acquisition of a process that has ended.
var errStopped = errors.New("process stopped")

// begin starts to acquire tokens, as a process does that knows no era yet.
func (holder *holder) begin() {
	holder.known, holder.call, holder.gets = 0, nil, 0
	nonce := func() uint64 { holder.nonces++; return holder.nonces }
	tokens := super.NewFencingTokens(holder, holder.vm, nonce)
	holder.resume, holder.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			if failure := recover(); failure != nil && failure != errStopped {
				panic(failure)
			}
		}()
		holder.yield = yield
		for holder.left > 0 {
			holder.left--
			holder.gets, holder.floor = 0, holder.model.greatest
			token, _, err := tokens.Next(context.Background(), "g1")
			if holder.lastErr = err != nil; !holder.lastErr {
				holder.model.issue(token, holder.floor)
			}
		}
	})
	holder.resume()
}

// send waits until the answer of a call is delivered or lost.
func (holder *holder) send(call modelCall) (spool.Object, error) {
	holder.call, holder.lost = &call, false
	if !holder.yield(struct{}{}) {
		panic(errStopped)
	}
	holder.call = nil
	if holder.lost {
		return spool.Object{}, errNoAnswer
	}
	if call.era < holder.known {
		return spool.Object{}, &spool.EraError{Known: holder.known}
	}
	holder.known = call.era
	if call.verb == "put" && call.era != call.version.Era() {
		return spool.Object{}, spool.ErrEraChanged
	}
	if call.err != nil {
		return spool.Object{}, call.err
	}
	version := spool.NewVersion(call.era, call.record.revision)
	return spool.Object{Version: version, Body: json.RawMessage(call.record.body)}, nil
}

func (holder *holder) Era() spool.Era { return holder.known }

func (holder *holder) Get(context.Context, string, string) (spool.Object, error) {
	holder.gets++
	return holder.send(modelCall{verb: "get"})
}

func (holder *holder) Create(_ context.Context, object spool.Object) (spool.Object, error) {
	return holder.send(modelCall{verb: "create", body: withoutTime(object.Body)})
}

func (holder *holder) Put(_ context.Context, object spool.Object) (spool.Object, error) {
	if holder.known != 0 && object.Version.Era() != holder.known {
		return spool.Object{}, spool.ErrConflict
	}
	return holder.send(modelCall{verb: "put", version: object.Version, body: withoutTime(object.Body)})
}

func withoutTime(text json.RawMessage) string {
	var body struct {
		Holder spool.VM
		Token  uint64
		Nonce  uint64
	}
	if err := json.Unmarshal(text, &body); err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"Holder":%q,"Token":%d,"Nonce":%d}`, body.Holder, body.Token, body.Nonce)
}

// eraModel is one state of two holders and a store.
type eraModel struct {
	store     modelStore
	firstEra  spool.Era
	holders   []*holder
	issued    []uint64 // sorted
	inNewEra  int      // tokens issued after a fall-back
	greatest  uint64
	restarts  int // left
	violation string
}

func newEraModel(era spool.Era, acquisitions, restarts int) *eraModel {
	model := &eraModel{store: modelStore{era: era, revision: 7}, firstEra: era, restarts: restarts}
	for _, vm := range []spool.VM{"vm1", "vm2"} {
		holder := &holder{model: model, vm: vm, left: acquisitions}
		model.holders = append(model.holders, holder)
		holder.begin()
	}
	return model
}

func (model *eraModel) close() {
	for _, holder := range model.holders {
		holder.left = 0
		holder.stop()
	}
}

// issue records a token that a holder acquired and checks the promises on tokens.
func (model *eraModel) issue(token, floor uint64) {
	if slices.Contains(model.issued, token) {
		model.violation = fmt.Sprintf("token %d/%d issued twice", token>>32, uint32(token))
	}
	if token <= floor {
		model.violation = fmt.Sprintf("token %d/%d not above %d/%d, which was issued before its acquisition began",
			token>>32, uint32(token), floor>>32, uint32(floor))
	}
	if spool.Era(token>>32) > model.firstEra {
		model.inNewEra++
	}
	model.issued = append(model.issued, token)
	slices.Sort(model.issued)
	model.greatest = max(model.greatest, token)
}

// step is one event that may happen next.
type step struct {
	name  string
	apply func()
}

// steps returns the events that may happen next, always in the same order.
func (model *eraModel) steps() []step {
	var steps []step
	for _, holder := range model.holders {
		if call := holder.call; call != nil {
			if !call.answered {
				steps = append(steps, step{call.verb + " arrives " + string(holder.vm), func() { call.process(&model.store) }})
			} else {
				steps = append(steps, step{"answer " + string(holder.vm), func() { holder.resume() }})
				steps = append(steps, step{"loss " + string(holder.vm), func() { holder.lost = true; holder.resume() }})
			}
		}
		if holder.known < model.store.era {
			steps = append(steps, step{"heartbeat " + string(holder.vm), func() { holder.known = model.store.era }})
		}
		if model.restarts > 0 && holder.call != nil {
			steps = append(steps, step{"restart " + string(holder.vm), func() { model.restart(holder) }})
		}
	}
	for index := range model.store.copies {
		steps = append(steps, step{fmt.Sprintf("fall-back to copy %d", index), func() { model.store.fallBack(index) }})
	}
	return steps
}

func (model *eraModel) restart(holder *holder) {
	model.restarts--
	left := holder.left
	holder.left = 0
	holder.stop()
	holder.left = left + 1
	holder.begin()
}

// key describes the state; equal keys have equal futures.
func (model *eraModel) key() string {
	text := fmt.Sprintf("%v %v %d", model.store, model.issued, model.restarts)
	for _, holder := range model.holders {
		text += fmt.Sprintf("|%d %d %d %d %d %t", holder.known, holder.gets, holder.floor, holder.left, holder.nonces, holder.lastErr)
		if holder.call != nil {
			text += fmt.Sprintf(" %v", *holder.call)
		}
	}
	return text
}
