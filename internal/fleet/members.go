package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	kindMember    = "corianderspool-members" // one object a VM in the store
	registerPause = 500 * time.Millisecond   // between attempts to register while the store refuses
	listPeriod    = 30 * time.Second         // between lists; heartbeats tell of changes sooner
)

// memberBody is what a VM writes about itself.
type memberBody struct {
	Address string
	Domain  spool.Domain
}

// members is the registry of the fleet's VMs.
type members struct {
	proxy *Proxy
	mutex sync.Mutex
	known map[spool.VM]memberBody
}

func newMembers(proxy *Proxy) *members {
	return &members{proxy: proxy, known: map[spool.VM]memberBody{}}
}

// run registers this VM and lists the others until the context ends.
func (members *members) run(ctx context.Context) {
	for members.register(ctx) != nil {
		if !sleep(ctx, registerPause/2+rand.N(registerPause)) {
			return
		}
	}
	for {
		if err := members.list(ctx); err != nil && ctx.Err() == nil {
			event.Log(members.proxy.logger, event.MembersUnlisted, zap.Error(err))
			if !sleep(ctx, registerPause/2+rand.N(registerPause)) {
				return
			}
			continue
		}
		if !sleep(ctx, listPeriod/2+rand.N(listPeriod)) {
			return
		}
	}
}

// register writes this VM's entry; it holds the same until the VM is replaced, so repeating it changes nothing.
func (members *members) register(ctx context.Context) error {
	settings := &members.proxy.settings
	body, err := json.Marshal(memberBody{Address: settings.Peers, Domain: settings.Domain})
	if err != nil {
		return err
	}
	object := spool.Object{Kind: kindMember, Name: string(settings.VM), Body: body}
	_, err = members.proxy.adapter.Create(ctx, object)
	if !errors.Is(err, spool.ErrConflict) {
		return err
	}
	stored, err := members.proxy.adapter.Get(ctx, kindMember, object.Name)
	if err != nil || string(stored.Body) == string(body) {
		return err
	}
	object.Version = stored.Version
	_, err = members.proxy.adapter.Put(ctx, object)
	return err
}

func (members *members) list(ctx context.Context) error {
	objects, _, err := members.proxy.adapter.List(ctx, kindMember)
	if err != nil {
		return err
	}
	known := map[spool.VM]memberBody{}
	for _, object := range objects {
		var body memberBody
		if err := json.Unmarshal(object.Body, &body); err != nil {
			event.Log(members.proxy.logger, event.EntryIgnored, zap.String("Entry", object.Name), zap.Error(err))
			continue
		}
		known[spool.VM(object.Name)] = body
	}
	members.mutex.Lock()
	members.known = known
	members.mutex.Unlock()
	members.proxy.pool.SetFleet(len(known))
	members.proxy.limiter.setFleet(len(known))
	event.Log(members.proxy.logger, event.MembersListed, zap.Int("Members", len(known)))
	return nil
}

// sleep waits and tells if the context still runs.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
