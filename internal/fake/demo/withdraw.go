package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const holderInterval = 5 * time.Millisecond

// withdraw withdraws a key from sessions on every living proxy and measures how long it goes on working.
func (run *run) withdraw() error {
	key := run.plan.Keys[1]
	proxies := run.fleet.living(run.plan.Proxies)
	run.say("Withdrawing key %s while %d sessions use it.", key.Name, len(proxies))
	lasted, err := Withdraw(key, proxies, func() error { return run.push(key.Name) })
	for _, alive := range lasted {
		run.withdrawal = max(run.withdrawal, alive)
	}
	run.say("The key worked for %d ms after the push.", run.withdrawal.Milliseconds())
	return err
}

// Withdraw connects a session with the key to each proxy, withdraws the key and returns for each proxy how long the
// key went on working after that; it fails if the key did not work before.
func Withdraw(key Key, proxies []Process, withdraw func() error) ([]time.Duration, error) {
	holders := []*holder{}
	for _, proxy := range proxies {
		holder := &holder{key: key, address: proxy.Address}
		if err := holder.use(); err != nil {
			return nil, eris.Wrapf(err, "key %s did not work on %s before its withdrawal", key.Name, proxy.Name)
		}
		holders = append(holders, holder)
	}
	ctx, stop := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	for _, holder := range holders {
		group.Go(func() { holder.persist(ctx) })
	}
	begin := time.Now()
	err := withdraw()
	if err == nil {
		time.Sleep(withdrawalTime)
	}
	stop()
	group.Wait()
	lasted := []time.Duration{}
	for _, holder := range holders {
		lasted = append(lasted, holder.last.Sub(begin))
	}
	return lasted, err
}

// push replaces the manifest by one with the key withdrawn, trying again until the platform answers.
func (run *run) push(withdrawn string) error {
	manifest, err := run.plan.Manifest(withdrawn)
	if err != nil {
		return err
	}
	body, err := json.Marshal(manifest)
	if err != nil {
		return eris.Wrap(err, "encoding the manifest")
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		err := run.replace(body)
		if err == nil || time.Now().After(deadline) {
			return eris.Wrap(err, "pushing the manifest")
		}
	}
}

// replace writes the manifest's body unless it is stored already.
func (run *run) replace(body []byte) error {
	ctx := context.Background()
	stored, err := run.client.Get(ctx, spool.KindManifest, partner)
	if err != nil || bytes.Equal(stored.Body, body) {
		return err
	}
	stored.Body = body
	_, err = run.client.Put(ctx, stored)
	return err
}

// holder is a session that goes on trying to use a key.
type holder struct {
	key        Key
	address    string
	connection *pgx.Conn
	last       time.Time // of the last answer
}

// persist uses the key until the context ends, connecting anew when the session is ended.
func (holder *holder) persist(ctx context.Context) {
	for ctx.Err() == nil {
		_ = holder.use()
		pause(ctx, holderInterval)
	}
}

// use sends one read over the session, or over a new one if it has ended.
func (holder *holder) use() error {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if holder.connection == nil {
		connection, err := Connect(ctx, Target{Address: holder.address, Key: holder.key})
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
