package super

import (
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/pkg/spool"
)

// clockTolerance is by how much the clocks of two VMs may differ, steps included, when the age of a stored order is judged.
const clockTolerance = 10 * time.Second

// tokenBody is the stored holder of a group's fencing token.
type tokenBody struct {
	Holder spool.VM
	Token  uint64
	Taken  int64         // Unix milliseconds by the holder's clock
	Nonce  uint64        // distinguishes an own update whose answer was lost from that of another proxy
	Target spool.Server  `json:",omitempty"` // that the holder is going to promote
	Term   spool.Term    `json:",omitempty"` // newest one that the holder knows
	Leads  bool          `json:",omitempty"` // the target is the primary
	Orders []storedOrder `json:",omitempty"` // of earlier tokens, that may still be carried out
}

// storedOrder is an order of an earlier token.
type storedOrder struct {
	Server spool.Server
	Term   spool.Term
	Token  uint64
	Leads  bool  `json:",omitempty"`
	Taken  int64 // Unix milliseconds by the clock of the holder that stored it first
}

// orders returns the earlier orders and that of the token.
func (body *tokenBody) orders() []storedOrder {
	return append(slices.Clone(body.Orders), storedOrder{body.Target, body.Term, body.Token, body.Leads, body.Taken})
}

// pending returns the orders that may still be carried out, by their age, the newest last.
func (body *tokenBody) pending(now time.Time) (orders []elect.Order) {
	for _, order := range body.orders() {
		if order.Server != "" && now.Sub(time.UnixMilli(order.Taken)).Abs() < elect.OrderTTL+clockTolerance {
			orders = append(orders, elect.Order{Server: order.Server, Term: order.Term, Token: order.Token, Leads: order.Leads})
		}
	}
	return orders
}

// store returns orders as they are stored with the next token. One that is stored already keeps its age.
func (body *tokenBody) store(orders []elect.Order, now time.Time) (stored []storedOrder) {
	for _, order := range orders {
		taken := now.UnixMilli()
		for _, earlier := range body.orders() {
			if earlier.Token == order.Token {
				taken = earlier.Taken
			}
		}
		stored = append(stored, storedOrder{order.Server, order.Term, order.Token, order.Leads, taken})
	}
	return stored
}
