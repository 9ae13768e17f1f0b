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

const keyReadInterval = 5 * time.Millisecond

// withdrawKey withdraws a key that sessions on every running proxy use and records how long it still works.
func (run *run) withdrawKey() error {
	key := run.plan.Keys[1]
	proxies := run.fleet.running(run.plan.Proxies)
	run.printf("Withdrawing key %s while %d sessions use it.", key.Name, len(proxies))
	delays, err := MeasureWithdrawal(key, proxies, func() error { return run.pushWithdrawal(key.Name) })
	for _, delay := range delays {
		run.withdrawalDelay = max(run.withdrawalDelay, delay)
	}
	run.printf("The key worked for %d ms after the push.", run.withdrawalDelay.Milliseconds())
	return err
}

// MeasureWithdrawal connects a session with the key to each proxy, withdraws the key and returns for each proxy how
// long the key still worked; it fails if the key did not work before.
func MeasureWithdrawal(key Key, proxies []Process, withdraw func() error) ([]time.Duration, error) {
	keySessions := []*keySession{}
	for _, proxy := range proxies {
		keySession := &keySession{key: key, address: proxy.Address}
		if err := keySession.read(); err != nil {
			return nil, eris.Wrapf(err, "key %s did not work on %s before its withdrawal", key.Name, proxy.Name)
		}
		keySessions = append(keySessions, keySession)
	}
	ctx, stop := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	for _, keySession := range keySessions {
		group.Go(func() { keySession.run(ctx) })
	}
	begin := time.Now()
	err := withdraw()
	if err == nil {
		time.Sleep(withdrawalObservation)
	}
	stop()
	group.Wait()
	delays := []time.Duration{}
	for _, keySession := range keySessions {
		delays = append(delays, keySession.lastAnswer.Sub(begin))
	}
	return delays, err
}

// pushWithdrawal stores a manifest with the key withdrawn; it retries until it succeeds or readyTimeout has passed.
func (run *run) pushWithdrawal(withdrawn string) error {
	manifest, err := run.plan.Manifest(withdrawn)
	if err != nil {
		return err
	}
	body, err := json.Marshal(manifest)
	if err != nil {
		return eris.Wrap(err, "encoding the manifest")
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		err := run.replaceManifest(body)
		if err == nil || time.Now().After(deadline) {
			return eris.Wrap(err, "pushing the manifest")
		}
	}
}

// replaceManifest stores the manifest's body unless the stored one is identical.
func (run *run) replaceManifest(body []byte) error {
	ctx := context.Background()
	stored, err := run.client.Get(ctx, spool.KindManifest, partner)
	if err != nil || bytes.Equal(stored.Body, body) {
		return err
	}
	stored.Body = body
	_, err = run.client.Put(ctx, stored)
	return err
}

// keySession is a session that uses a key repeatedly.
type keySession struct {
	key        Key
	address    string
	connection *pgx.Conn
	lastAnswer time.Time // when the key last worked
}

// run reads with the key until the context ends and reconnects when the session was closed.
func (keySession *keySession) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = keySession.read()
		sleep(ctx, keyReadInterval)
	}
}

// read sends one read over the session, or over a new one if it was closed.
func (keySession *keySession) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if keySession.connection == nil {
		connection, err := Connect(ctx, Target{Address: keySession.address, Key: keySession.key})
		if err != nil {
			return err
		}
		keySession.connection = connection
	}
	_, err := keySession.connection.Exec(ctx, "GET ready")
	if err == nil {
		keySession.lastAnswer = time.Now()
	}
	if keySession.connection.IsClosed() {
		keySession.connection = nil
	}
	return err
}
