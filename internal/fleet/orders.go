package fleet

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
)

// listOrders reads which promotions may still be carried out, until that succeeds: until then this proxy acknowledges no commits. It is
// called once the proxy is registered, so that a supervisor which stores an order later asks it to close commits.
func (proxy *Proxy) listOrders(ctx context.Context) {
	for {
		orders, unreadable, err := proxy.fencingTokens.Orders(ctx)
		if err == nil {
			proxy.pool.ListOrders(orders)
			for group, cause := range unreadable {
				event.Log(proxy.logger, event.StoreEntryIgnored, zap.String("Entry", string(group)), event.Cause(cause))
			}
			event.Log(proxy.logger, event.OrdersListed, zap.Any("Orders", orders), zap.Duration("SinceStart", proxy.timers.Now().Sub(proxy.started)))
			return
		}
		event.Log(proxy.logger, event.OrdersNotListed, event.Cause(err))
		if !sleep(ctx, registerRetryDelay/2+rand.N(registerRetryDelay)) {
			return
		}
	}
}
