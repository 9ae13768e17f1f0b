package super

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/pkg/spool"
)

// KindFencingToken is the kind of the objects that hold the fencing tokens, one per group.
const KindFencingToken = "corianderspool-duties"

// recentTokenAge is the age below which another holder's token counts as recent.
const recentTokenAge = elect.OrderTTL

// tokenAttemptTimeout limits one attempt: a store sixty times slower than usual answers both calls within 480 ms, and
// waiting longer does not help if the answer was lost.
const tokenAttemptTimeout = 600 * time.Millisecond

// maxTokenAttempts limits the attempts to acquire a token, which fail on conflicts with other holders and on lost answers.
const maxTokenAttempts = 4

// TokenOption configures the acquisition of a token.
type TokenOption func(*tokenRequest)

// tokenRequest holds the options of an acquisition.
type tokenRequest struct {
	choose  func(earlier spool.Server) spool.Server
	orders  func(stored []elect.Order) []elect.Order
	leads   func(target spool.Server) bool
	term    spool.Term
	renewed uint64 // token that must be the newest one; zero if any may be
}

// errTokenSuperseded means that another holder acquired a token since.
var errTokenSuperseded = errors.New("another holder acquired a fencing token")

// WithRenewal acquires a token only if the given one is still the newest of its group. Two holders that wait for each other would
// otherwise supersede each other without end.
func WithRenewal(token uint64) TokenOption {
	return func(request *tokenRequest) { request.renewed = token }
}

// WithTarget stores the server that the holder is going to promote, which choose returns. Earlier is the server of the previous
// token if a request with it may still take effect, else empty.
func WithTarget(choose func(earlier spool.Server) spool.Server) TokenOption {
	return func(request *tokenRequest) { request.choose = choose }
}

// WithOrders stores earlier orders with the token, so that a process which starts later learns of them. Orders returns those that may
// still be carried out; stored are those that other holders stored, by age.
func WithOrders(orders func(stored []elect.Order) []elect.Order) TokenOption {
	return func(request *tokenRequest) { request.orders = orders }
}

// WithTerm stores the newest term that the holder knows, and whether the server that it is going to promote leads it.
func WithTerm(term spool.Term, leads func(target spool.Server) bool) TokenOption {
	return func(request *tokenRequest) { request.term, request.leads = term, leads }
}

// FencingTokens issues fencing tokens, which increase with each acquisition.
type FencingTokens struct {
	store spool.Store
	vm    spool.VM
	nonce func() uint64

	eraStart eraStart

	mutex  sync.Mutex
	issued map[spool.Group]uint64 // newest token of each group that this process acquired
}

// NewFencingTokens returns an issuer whose tokens are kept in a store.
func NewFencingTokens(store spool.Store, vm spool.VM, nonce func() uint64) *FencingTokens {
	return &FencingTokens{store: store, vm: vm, nonce: nonce, issued: map[spool.Group]uint64{}}
}

// Next acquires the next token of a group, which no other holder ever receives; recent means that another process acquired
// the previous one within recentTokenAge, or may have if an answer of the store was lost or the store fell back. A token holds
// the era of the store in its upper half, so that it exceeds all tokens of earlier eras, also those that the store lost.
func (fencingTokens *FencingTokens) Next(
	ctx context.Context, group spool.Group, options ...TokenOption,
) (token uint64, recent bool, err error) {
	request := tokenRequest{
		choose: func(earlier spool.Server) spool.Server { return earlier },
		orders: func(stored []elect.Order) []elect.Order { return stored },
		leads:  func(spool.Server) bool { return false },
	}
	for _, option := range options {
		option(&request)
	}
	nonce := fencingTokens.nonce()
	var lastErr error
	for range maxTokenAttempts {
		token, recent, err = fencingTokens.attempt(ctx, group, nonce, request)
		if err == nil {
			fencingTokens.recordIssued(group, token)
		}
		if err == nil || errors.Is(err, errTokenSuperseded) {
			return token, recent, err
		}
		lastErr = err
	}
	return 0, false, eris.Wrapf(lastErr, "acquire the fencing token of group %s", group)
}

// attempt acquires the next token in one read and one update of the store.
func (fencingTokens *FencingTokens) attempt(
	ctx context.Context, group spool.Group, nonce uint64, request tokenRequest,
) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenAttemptTimeout)
	defer cancel()
	object, body, err := fencingTokens.read(ctx, group)
	missing := errors.Is(err, spool.ErrNotFound)
	if err != nil && !missing {
		return 0, false, err
	}
	if own := !missing && body.Nonce == nonce && body.Holder == fencingTokens.vm; own && fencingTokens.IsCurrent(body.Token) {
		request.choose(body.Target)
		return body.Token, request.renewed == 0, nil // the own update, whose answer was lost; it overwrote the previous holder
	}
	if request.renewed != 0 && request.renewed != body.Token {
		return 0, false, errTokenSuperseded
	}
	now := time.Now()
	otherRecent := !missing && fencingTokens.isOtherRecent(group, &body, now)
	era := fencingTokens.store.Era()
	eraRecent := fencingTokens.eraStart.observe(era, now)
	fellBack := eraRecent && eraOfToken(body.Token) < era // which may have removed another holder's token
	var earlier spool.Server
	if otherRecent && !fellBack {
		earlier = body.Target
	}
	next := tokenBody{
		Holder: fencingTokens.vm, Token: max(body.Token, firstToken(era)) + 1, Taken: now.UnixMilli(), Nonce: nonce,
	}
	next.Orders = body.store(request.orders(fencingTokens.ordersOfOthers(group, &body, now)), now)
	next.Target, next.Term = request.choose(earlier), request.term
	next.Leads = request.leads(next.Target)
	text, err := json.Marshal(next)
	if err != nil {
		return 0, false, eris.Wrap(err, "encode the fencing token")
	}
	update := spool.Object{Kind: KindFencingToken, Name: string(group), Version: object.Version, Body: text}
	if missing {
		_, err = fencingTokens.store.Create(ctx, update)
	} else {
		_, err = fencingTokens.store.Put(ctx, update)
	}
	if err != nil {
		return 0, false, err // the next attempt reads again, since the update may have taken effect
	}
	if !fencingTokens.IsCurrent(next.Token) {
		return 0, false, spool.ErrEraChanged
	}
	return next.Token, otherRecent || fellBack, nil
}

// PendingTarget returns the server that a recent request of another holder, or of an earlier process of this proxy, may still
// promote, and all orders that other holders stored; an empty name if there is none.
func (fencingTokens *FencingTokens) PendingTarget(ctx context.Context, group spool.Group) (spool.Server, []elect.Order, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenAttemptTimeout)
	defer cancel()
	_, body, err := fencingTokens.read(ctx, group)
	if errors.Is(err, spool.ErrNotFound) {
		return "", nil, nil
	}
	if err != nil {
		return "", nil, eris.Wrapf(err, "read the fencing token of group %s", group)
	}
	now := time.Now()
	orders := fencingTokens.ordersOfOthers(group, &body, now)
	if !fencingTokens.isOtherRecent(group, &body, now) {
		return "", orders, nil
	}
	return body.Target, orders, nil
}

// Orders returns the stored orders of all groups that may still be carried out, and by group why a token cannot be decoded; nobody
// acquires a token of such a group.
func (fencingTokens *FencingTokens) Orders(
	ctx context.Context,
) (orders map[spool.Group][]elect.Order, unreadable map[spool.Group]error, err error) {
	ctx, cancel := context.WithTimeout(ctx, tokenAttemptTimeout)
	defer cancel()
	objects, _, err := fencingTokens.store.List(ctx, KindFencingToken)
	if err != nil {
		return nil, nil, eris.Wrap(err, "list the fencing tokens")
	}
	orders, unreadable = map[spool.Group][]elect.Order{}, map[spool.Group]error{}
	now := time.Now()
	for _, object := range objects {
		var body tokenBody
		if err := json.Unmarshal(object.Body, &body); err != nil {
			unreadable[spool.Group(object.Name)] = err
			continue
		}
		if pending := body.pending(now); len(pending) > 0 {
			orders[spool.Group(object.Name)] = pending
		}
	}
	return orders, unreadable, nil
}

// MayLackOrders reports whether the store fell back so recently that it may have lost an order which may still be carried out.
func (fencingTokens *FencingTokens) MayLackOrders() bool {
	return fencingTokens.eraStart.observe(fencingTokens.store.Era(), time.Now())
}

// read returns the stored holder of a group's token, or spool.ErrNotFound.
func (fencingTokens *FencingTokens) read(ctx context.Context, group spool.Group) (spool.Object, tokenBody, error) {
	var body tokenBody
	object, err := fencingTokens.store.Get(ctx, KindFencingToken, string(group))
	if err != nil {
		return object, body, err
	}
	if err := json.Unmarshal(object.Body, &body); err != nil {
		return object, body, eris.Wrap(err, "decode the fencing token")
	}
	return object, body, nil
}

// isOtherRecent reports whether another process acquired the stored token within recentTokenAge.
func (fencingTokens *FencingTokens) isOtherRecent(group spool.Group, body *tokenBody, now time.Time) bool {
	return !fencingTokens.isOwn(group, body) && now.Sub(time.UnixMilli(body.Taken)).Abs() < recentTokenAge
}

// ordersOfOthers returns the orders that another process stored and that may still be carried out. This process knows its own ones, and
// which of them it did not request.
func (fencingTokens *FencingTokens) ordersOfOthers(group spool.Group, body *tokenBody, now time.Time) []elect.Order {
	if fencingTokens.isOwn(group, body) {
		return nil
	}
	return body.pending(now)
}

// isOwn reports whether this process acquired the stored token. An earlier process of this proxy is another one: what it requested may
// still take effect.
func (fencingTokens *FencingTokens) isOwn(group spool.Group, body *tokenBody) bool {
	fencingTokens.mutex.Lock()
	defer fencingTokens.mutex.Unlock()
	return body.Holder == fencingTokens.vm && body.Token == fencingTokens.issued[group]
}

func (fencingTokens *FencingTokens) recordIssued(group spool.Group, token uint64) {
	fencingTokens.mutex.Lock()
	defer fencingTokens.mutex.Unlock()
	fencingTokens.issued[group] = token
}
