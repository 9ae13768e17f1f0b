package demo

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const holderInterval = 5 * time.Millisecond

// withdraw withdraws a key from sessions on every living proxy and measures how long it goes on working.
func (run *run) withdraw() error {
	key := run.plan.Keys[1]
	proxies := run.fleet.living(run.plan.Proxies)
	holders := []*holder{}
	for _, proxy := range proxies {
		holder := &holder{key: key, address: proxy.Address}
		if err := holder.use(); err != nil {
			run.failures = append(run.failures, "key "+key.Name+" did not work on "+proxy.Name+" before its withdrawal")
		}
		holders = append(holders, holder)
	}
	run.say("Withdrawing key %s while %d sessions use it.", key.Name, len(holders))
	begin := time.Now()
	if err := run.push(key.Name); err != nil {
		return err
	}
	group := sync.WaitGroup{}
	for _, holder := range holders {
		group.Go(func() { holder.persist(begin.Add(withdrawalTime)) })
	}
	group.Wait()
	for _, holder := range holders {
		run.withdrawal = max(run.withdrawal, holder.last.Sub(begin))
	}
	run.say("The key worked for %d ms after the push.", run.withdrawal.Milliseconds())
	return nil
}

// holder is a session that goes on trying to use a key.
type holder struct {
	key        Key
	address    string
	connection *pgx.Conn
	last       time.Time // of the last answer
}

// persist uses the key until an instant, connecting anew when the session is ended.
func (holder *holder) persist(till time.Time) {
	for time.Now().Before(till) {
		_ = holder.use()
		time.Sleep(holderInterval)
	}
}

// use sends one read over the session, or over a new one if it has ended.
func (holder *holder) use() error {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if holder.connection == nil {
		connection, err := connect(ctx, holder.address, holder.key, "")
		if err != nil {
			return err
		}
		holder.connection = connection
	}
	_, err := holder.connection.Exec(ctx, "GET ready")
	if err == nil {
		holder.last = time.Now()
	}
	if holder.connection.IsClosed() {
		holder.connection = nil
	}
	return err
}
