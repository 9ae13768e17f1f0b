package super

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// KindFencingToken is the kind of the objects that hold the fencing tokens, one a group.
const KindFencingToken = "corianderspool-duties"

// recentTurn is how long another holder's turn counts as recent: orders may run up to 12 s late, and clocks may be off by
// a few seconds.
const recentTurn = 20 * time.Second

// tokenTimeout bounds one try: a store that is sixty times slower than usual answers both calls in 480 ms, and an answer
// that is lost is not worth a longer wait.
const tokenTimeout = 600 * time.Millisecond

// maxTokenTries bounds how often a lost race or answer is tried again.
const maxTokenTries = 4

// dutyBody is who holds the duty of promoting in a group.
type dutyBody struct {
	Holder spool.VM
	Token  uint64
	Taken  int64  // Unix milliseconds by the holder's clock
	Nonce  uint64 // tells an own update whose answer was lost from that of another proxy
}

// FencingTokens hands out fencing tokens that rise with each change.
type FencingTokens struct {
	store spool.Store
	vm    spool.VM
	nonce func() uint64
}

// NewFencingTokens returns tokens that are kept in a store.
func NewFencingTokens(store spool.Store, vm spool.VM, nonce func() uint64) *FencingTokens {
	return &FencingTokens{store: store, vm: vm, nonce: nonce}
}

// Next takes the next token of a group; no other holder ever gets the same. Recent tells that another holder took the one
// before a short while ago.
func (tokens *FencingTokens) Next(ctx context.Context, group spool.Group) (token uint64, recent bool, err error) {
	nonce := tokens.nonce()
	var last error
	for range maxTokenTries {
		token, recent, err = tokens.try(ctx, group, nonce)
		if err == nil {
			return token, recent, nil
		}
		last = err
	}
	return 0, false, eris.Wrapf(last, "duty of group %s", group)
}

func (tokens *FencingTokens) try(ctx context.Context, group spool.Group, nonce uint64) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	object, err := tokens.store.Get(ctx, KindFencingToken, string(group))
	missing := errors.Is(err, spool.ErrNotFound)
	if err != nil && !missing {
		return 0, false, err
	}
	var body dutyBody
	if !missing {
		if err := json.Unmarshal(object.Body, &body); err != nil {
			return 0, false, eris.Wrap(err, "read the duty")
		}
		if body.Nonce == nonce && body.Holder == tokens.vm {
			return body.Token, true, nil // the update whose answer was lost
		}
	}
	now := time.Now()
	recent := !missing && body.Holder != tokens.vm && now.Sub(time.UnixMilli(body.Taken)).Abs() < recentTurn
	next := dutyBody{Holder: tokens.vm, Token: body.Token + 1, Taken: now.UnixMilli(), Nonce: nonce}
	text, err := json.Marshal(next)
	if err != nil {
		return 0, false, eris.Wrap(err, "write the duty")
	}
	update := spool.Object{Kind: KindFencingToken, Name: string(group), Version: object.Version, Body: text}
	if missing {
		_, err = tokens.store.Create(ctx, update)
	} else {
		_, err = tokens.store.Put(ctx, update)
	}
	if err != nil {
		return 0, false, err // read again: it may have been done
	}
	return next.Token, recent, nil
}
