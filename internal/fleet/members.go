package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	kindMember = "corianderspool-members" // one object a VM in the store
	// bootstrapPause is the time before the first list when the whole fleet starts for the first time, within 0.3 s: one list
	// then shows nearly all.
	bootstrapPause = time.Second
	registerPause  = 500 * time.Millisecond // between attempts to register while the store refuses
	listPeriod     = 60 * time.Second       // between lists; heartbeats tell of new members sooner
)

// memberBody is what a VM writes about itself.
type memberBody struct {
	Address string
	Domain  spool.Domain
}

// members is the registry of the fleet's VMs.
type members struct {
	proxy  *Proxy
	mutex  sync.Mutex
	roster *roster.Roster
	known  bool // the registry was listed, or other proxies were listened to for long enough
}

func newMembers(proxy *Proxy) *members {
	self := spool.Member{VM: proxy.settings.VM, Domain: proxy.settings.Domain, Address: proxy.settings.Peers}
	return &members{proxy: proxy, roster: roster.New(self, proxy.near)}
}

// run registers this VM, lists the others and removes those that are gone, until the context ends.
func (members *members) run(ctx context.Context) {
	for members.register(ctx) != nil {
		if !sleep(ctx, registerPause/2+rand.N(registerPause)) {
			return
		}
	}
	if members.proxy.settings.Bootstrap && !sleep(ctx, bootstrapPause) {
		return
	}
	for {
		pause := listPeriod/2 + rand.N(listPeriod)
		if err := members.list(ctx); err != nil {
			event.Log(members.proxy.logger, event.MembersListFailed, event.Cause(err))
			pause = registerPause/2 + rand.N(registerPause)
		}
		if !sleep(ctx, pause) {
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
	if err != nil || sameMember(stored.Body, body) {
		return err
	}
	object.Version = stored.Version
	_, err = members.proxy.adapter.Put(ctx, object)
	return err
}

func sameMember(stored, own json.RawMessage) bool {
	var left, right memberBody
	if json.Unmarshal(stored, &left) != nil || json.Unmarshal(own, &right) != nil {
		return false // an entry that cannot be read is written anew
	}
	return left == right
}

func (members *members) list(ctx context.Context) error {
	objects, _, err := members.proxy.adapter.List(ctx, kindMember)
	if err != nil {
		return err
	}
	now := members.proxy.timers.Now()
	registered := map[spool.VM]bool{}
	listed := make([]spool.Member, 0, len(objects))
	for _, object := range objects {
		var body memberBody
		if err := json.Unmarshal(object.Body, &body); err != nil {
			event.Log(members.proxy.logger, event.StoreEntryIgnored, zap.String("Entry", object.Name), event.Cause(err))
			continue
		}
		vm := spool.VM(object.Name)
		registered[vm] = true
		listed = append(listed, spool.Member{VM: vm, Domain: body.Domain, Address: body.Address})
	}
	members.mutex.Lock()
	for _, member := range listed {
		members.roster.Add(member, now)
	}
	members.roster.RemoveUnregistered(registered, now)
	members.known = true
	size := members.roster.Size()
	members.mutex.Unlock()
	members.resize()
	event.Log(members.proxy.logger, event.MembersListed, zap.Int("Members", size))
	return nil
}

// add takes proxies into the fleet.
func (members *members) add(found ...spool.Member) {
	now := members.proxy.timers.Now()
	added := false
	members.mutex.Lock()
	for _, member := range found {
		added = members.roster.Add(member, now) || added
	}
	members.mutex.Unlock()
	if added {
		members.resize()
	}
}

// resize tells who shares what with the whole fleet. A proxy that does not know the fleet yet mints no rates: it would take
// itself for the only one.
func (members *members) resize() {
	settings := &members.proxy.settings
	members.mutex.Lock()
	domains, self := members.roster.Domains(settings.Domain)
	fleet := []quota.Proxy{{VM: settings.VM, Region: settings.Region}}
	for _, member := range members.roster.Others() {
		fleet = append(fleet, quota.Proxy{VM: member.VM, Region: settings.Regions[member.Domain]})
	}
	known := members.known
	members.mutex.Unlock()
	members.proxy.pool.SetFleet(domains, self)
	if known {
		members.proxy.limiter.setFleet(fleet)
	}
}

// settle ends the wait for the registry after the time in which other proxies are heard.
func (members *members) settle(now spool.Instant) {
	members.mutex.Lock()
	settled := !members.known && now.Sub(members.proxy.started) > members.roster.SettleTime()
	members.known = members.known || settled
	members.mutex.Unlock()
	if settled {
		members.resize()
	}
}

// collect removes the registration of a proxy that was silent for long; a proxy that still runs registers again.
func (members *members) collect(ctx context.Context) {
	now := members.proxy.timers.Now()
	fit := members.proxy.fit() // before the lock of the members, which others take while they hold the proxy's
	members.mutex.Lock()
	gone := members.roster.Expired(now)
	supervises := members.roster.Supervises(kindMember, members.proxy.settings.Domain, anywhere, fit, now)
	members.mutex.Unlock()
	if len(gone) == 0 || !supervises {
		return
	}
	for _, vm := range gone {
		object, err := members.proxy.adapter.Get(ctx, kindMember, string(vm))
		if err == nil {
			err = members.proxy.adapter.Delete(ctx, object)
		}
		event.Log(members.proxy.logger, event.MemberRemoved, zap.String("VM", string(vm)), event.Cause(err))
	}
	if err := members.list(ctx); err != nil {
		event.Log(members.proxy.logger, event.MembersListFailed, event.Cause(err))
	}
}

// anywhere prefers no failure domain.
func anywhere(spool.Domain) bool { return false }

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
