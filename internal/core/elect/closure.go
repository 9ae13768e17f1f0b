package elect

import (
	"cmp"
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// CommitHold is how long no commits are sent to a primary that does not work after its commits were closed: until a promotion that
// is requested soon after takes effect, which takes up to 1 s.
const CommitHold = 3 * time.Second

// Closure is a supervisor's request to acknowledge no commit of a group unless the server that is about to be promoted has received it.
// Which server leads now, and which ones confirm its commits, does not matter: the supervisor may know neither. It lasts for OrderTTL,
// since the promotion may be carried out as late as that.
type Closure struct {
	Chosen  spool.Server  // that is to be promoted; empty if a proxy of an older version asks, so that no commit is acknowledged
	Primary spool.Server  // that is to be replaced; empty if it is not known, the chosen one if it stays the primary
	Term    spool.Term    // newest one that the supervisor knows, so that the chosen server leads a later one
	Token   uint64        // fencing token of the supervisor; zero if a proxy of an older version asks
	MaySend bool          // commits are sent to the primary meanwhile
	Until   spool.Instant // when it ends
	Orders  []Order       // earlier ones that may still be carried out
	Partial bool          // there may be more earlier ones, which the supervisor does not know

	refuseUntil spool.Instant     // until then no commits are sent to the primary unless MaySend is set
	received    spool.LogPosition // newest that the chosen server has told
	withdrawn   bool              // the promotion was not requested and will not be, or it changed nothing
}

// covers reports whether a commit that was sent to a server must not be acknowledged, however late its answer comes, unless the chosen
// server has it.
func (closure *Closure) covers(server spool.Server, term spool.Term, sent spool.Instant) bool {
	if closure.withdrawn || sent >= closure.Until {
		return false
	}
	return closure.excludes(server) || term <= closure.Term && !closure.keepsPrimary()
}

func (closure *Closure) excludes(server spool.Server) bool {
	if closure.Chosen == "" {
		return server == closure.Primary
	}
	return server != closure.Chosen
}

func (closure *Closure) keepsPrimary() bool {
	return closure.Chosen != "" && closure.Chosen == closure.Primary
}

// confirms reports whether the chosen server has received a commit: a position of its log names the same commit as in the primary's
// if it is of the same term.
func (closure *Closure) confirms(position spool.LogPosition) bool {
	return closure.received.Term == position.Term && !closure.received.Less(position)
}

// pending reports whether the promotion may still be carried out.
func (closure *Closure) pending(now spool.Instant) bool {
	return !closure.withdrawn && now < closure.Until
}

// keeps reports whether the promotion of an earlier closure may still be carried out, as far as the supervisor knows.
func (closure *Closure) keeps(earlier *Closure) bool {
	return closure.Partial || slices.ContainsFunc(closure.Orders, func(order Order) bool { return order.Token == earlier.Token })
}

// AckStep is what a proxy does about a commit that a server has completed.
type AckStep int

// Steps for a completed commit.
const (
	Acknowledge   AckStep = iota
	AwaitChosen           // ask the server that is to be promoted whether it has the commit
	AwaitOrders           // wait until it is known which promotions were requested before the process started
	AnswerUnknown         // it may be lost, and nobody will know
)

// closureTTL is how long after its end a closure is kept, for the late answers of commits that were sent before. Requests between
// proxies and servers end sooner.
const closureTTL = time.Minute

// Closures are the promotions of a group that may still be carried out, or were until lately, by token. Each ends when its server
// leads, or when a supervisor with a newer token does not name it any more.
type Closures struct {
	Startup *Startup // of the process; nil if it knows all orders
	list    []Closure
	settled uint64 // no order up to this token is carried out any more
}

// Add adds a closure, and the earlier orders that the supervisor knows, and reports whether it did: none is added while one of a newer
// token lasts.
func (closures *Closures) Add(closure Closure, now spool.Instant) bool {
	if newest := closures.newest(now); newest != nil && closure.Token < newest.Token {
		return false
	}
	closures.Learn(closure.Orders, now)
	closure.refuseUntil = min(closure.Until, now.Add(CommitHold))
	kept := closures.list[:0]
	for _, earlier := range closures.list {
		if earlier.Token == closure.Token && earlier.Chosen == closure.Chosen {
			closure.received = earlier.received
			continue
		}
		if !closure.keeps(&earlier) {
			earlier.Until = min(earlier.Until, now)
		}
		if now.Sub(earlier.Until) < closureTTL {
			kept = append(kept, earlier)
		}
	}
	closures.list = append(kept, closure)
	return true
}

// Learn adds orders that this process was not asked to close commits for, such as those from before it started.
func (closures *Closures) Learn(orders []Order, now spool.Instant) {
	for _, order := range orders {
		known := slices.ContainsFunc(closures.list, func(closure Closure) bool { return closure.Token == order.Token })
		if known || order.Token <= closures.settled {
			continue
		}
		closure := Closure{Chosen: order.Server, Term: order.Term, Token: order.Token, MaySend: true, Until: now.Add(OrderTTL)}
		if order.Leads {
			closure.Primary = order.Server
		}
		closures.list = append(closures.list, closure)
	}
	slices.SortStableFunc(closures.list, func(left, right Closure) int { return cmp.Compare(left.Token, right.Token) })
}

// Pending returns the orders that may still be carried out, the oldest first.
func (closures *Closures) Pending(now spool.Instant) (orders []Order) {
	for i := range closures.list {
		if closure := &closures.list[i]; closure.pending(now) && closure.Chosen != "" {
			orders = append(orders, Order{
				Server: closure.Chosen, Term: closure.Term, Token: closure.Token, Leads: closure.keepsPrimary(),
			})
		}
	}
	return orders
}

// Open ends the closure of a token, whose holder has not requested its promotion and will not. Earlier orders stay.
func (closures *Closures) Open(token uint64) {
	for i := range closures.list {
		if closures.list[i].Token == token {
			closures.list[i].withdrawn = true
		}
	}
}

// Settle ends the closures up to a token: the platform refuses the older ones since it has answered a request with that token, and
// that request has changed nothing.
func (closures *Closures) Settle(token uint64) {
	closures.settled = max(closures.settled, token)
	for i := range closures.list {
		if closures.list[i].Token <= token {
			closures.list[i].withdrawn = true
		}
	}
}

// RecordLead records that a server leads a term. The oldest order that names it, or an even older one, has been carried out, so that
// the platform refuses those before; one whose holder knew the term already is a later one.
func (closures *Closures) RecordLead(server spool.Server, term spool.Term, now spool.Instant) {
	for i := range closures.list {
		if led := &closures.list[i]; led.pending(now) && led.Chosen == server && led.Term < term {
			for j := range closures.list[:i+1] {
				if earlier := &closures.list[j]; earlier.Term < term {
					earlier.Until = min(earlier.Until, now)
				}
			}
			return
		}
	}
}

// Judge returns what to do about a commit that a server has completed, and which server to ask. A commit that a closure covers which has
// ended may only be acknowledged if the server that was chosen then is known to have it: whether that one was promoted is not known.
func (closures *Closures) Judge(
	server spool.Server, position spool.LogPosition, sent, now spool.Instant,
) (step AckStep, chosen spool.Server) {
	if closures.Startup.remaining(now) > 0 {
		return AwaitOrders, ""
	}
	closures.RecordLead(server, position.Term, now)
	for i := range closures.list {
		closure := &closures.list[i]
		if !closure.covers(server, position.Term, sent) || closure.confirms(position) {
			continue
		}
		if closure.Chosen == "" || now >= closure.Until {
			return AnswerUnknown, ""
		}
		step, chosen = AwaitChosen, closure.Chosen
	}
	return step, chosen
}

// Refuse returns for how long no commit is to be sent to a server. The term does not tell: the position of a server that was just
// promoted is of the term before until its first commit.
func (closures *Closures) Refuse(server spool.Server, now spool.Instant) time.Duration {
	if unknown := closures.Startup.remaining(now); unknown > 0 {
		return unknown
	}
	newest := closures.newest(now)
	if server == "" || newest == nil || newest.MaySend || !newest.excludes(server) {
		return 0
	}
	return max(0, newest.refuseUntil.Sub(now))
}

// RecordStatus records what a server that is to be promoted said of itself, and reports whether it still is a replica, so that it may
// receive more.
func (closures *Closures) RecordStatus(chosen spool.Server, status spool.ReplicaStatus, now spool.Instant) (replica bool) {
	for i := range closures.list {
		if closure := &closures.list[i]; closure.Chosen == chosen {
			closure.received = closure.received.Max(status.Received)
		}
	}
	if status.Primary {
		closures.RecordLead(chosen, status.Term, now)
	}
	return !status.Primary
}

// newest returns the closure of the newest token that has not ended, or nil.
func (closures *Closures) newest(now spool.Instant) *Closure {
	for i := range closures.list {
		if closure := &closures.list[len(closures.list)-1-i]; closure.pending(now) {
			return closure
		}
	}
	return nil
}
