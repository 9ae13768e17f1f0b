package elect

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// restart ends or starts a proxy with its supervisor, at times both at once: it forgets what it closed. One that has started registers,
// and then reads the stored orders before it acknowledges commits.
func (model *handoverModel) restart(proxy *modelProxy, choose func(int) int) {
	if proxy.closures.Startup != nil && !proxy.closures.Startup.Listed {
		proxy.closures.Learn(model.stored, spool.Instant(model.now))
		proxy.closures.Startup.Listed = true
		model.answer()
		return
	}
	if choose(3) == 0 {
		return
	}
	if !proxy.down {
		model.stop(proxy)
	}
	if choose(3) == 0 {
		return
	}
	proxy.down, proxy.registered = false, true
	proxy.restartedAt = model.now
	if !model.rules.forgetOrders {
		proxy.closures.Startup = &Startup{Began: spool.Instant(model.now)}
	}
}

// stop ends a proxy: its callers lose their connections.
func (model *handoverModel) stop(proxy *modelProxy) {
	for position, commit := range model.waiting {
		if commit.proxy == proxy {
			delete(model.waiting, position)
			model.acked[position] = false
		}
	}
	for position, commit := range model.sentBy {
		if _, answered := model.acked[position]; commit.proxy == proxy && !answered {
			model.acked[position] = false
		}
	}
	for i, supervisor := range model.supervisors {
		if supervisor.proxy == proxy {
			model.supervisors[i] = newModelSupervisor(proxy)
		}
	}
	*proxy = modelProxy{registered: proxy.registered, cut: proxy.cut, down: true}
}

// asked returns the proxies that a supervisor asks, and whether all of them answer.
func (model *handoverModel) asked() (answering []*modelProxy, complete bool) {
	complete = true
	for i, proxy := range model.proxies {
		if !proxy.registered || model.rules.skipMembers && i >= len(model.supervisors) {
			continue
		}
		if proxy.down || proxy.cut {
			complete = false
			continue
		}
		answering = append(answering, proxy)
	}
	return answering, complete
}

// closeCommits has all proxies acknowledge no commits that the chosen server lacks.
func (model *handoverModel) closeCommits(supervisor *modelSupervisor) {
	answering, complete := model.asked()
	if supervisor.closed {
		return
	}
	handover, now := supervisor.handover, spool.Instant(model.now)
	closure := Closure{
		Chosen: handover.Chosen, Primary: handover.Primary, Term: handover.PauseTerm - 1, Token: uint64(supervisor.token),
		Until: now.Add(OrderTTL), Orders: supervisor.orders,
	}
	if model.rules.closePrimary {
		closure.Chosen = ""
	}
	if model.rules.endEarlier {
		closure.Orders = nil
	}
	for _, proxy := range answering {
		complete = proxy.closures.Add(closure, now) && complete
	}
	bound, known := model.ackedBound(supervisor.proxy)
	if complete && known {
		supervisor.closed, supervisor.bound = true, bound
	}
}

// ackedBound returns a position at or above every acknowledged commit, if the proxies know one.
func (model *handoverModel) ackedBound(supervising *modelProxy) (bound spool.LogPosition, known bool) {
	knowledge := AckedKnowledge{}
	answering, complete := model.asked()
	for _, proxy := range answering {
		bound = bound.Max(proxy.known)
		own := AckedKnowledge{}
		if proxy.restartedAt != 0 && !model.rules.trustRestarted {
			own.Restarted = max(1, time.Duration(model.now-proxy.restartedAt))
		}
		if proxy.ackedSent != 0 {
			own.AckedAge = max(1, time.Duration(model.now-proxy.ackedSent))
		}
		knowledge.Merge(own)
	}
	bound, known = knowledge.Bound(bound, 0, func(age time.Duration) (spool.LogPosition, bool) {
		return supervising.position, supervising.told != 0 && time.Duration(model.now-supervising.told) <= age
	})
	return bound, known && complete
}
