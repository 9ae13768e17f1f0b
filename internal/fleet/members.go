package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	kindMember = "corianderspool-members" // one object per VM in the store
	// bootstrapDelay precedes the first list when the whole fleet starts for the first time. All VMs start within 0.3 s, so
	// one list then shows nearly all of them.
	bootstrapDelay     = time.Second
	registerRetryDelay = 500 * time.Millisecond // between attempts to register while the store fails
	listInterval       = 60 * time.Second       // between lists; heartbeats announce new members sooner
)

// memberBody is the body of a VM's entry.
type memberBody struct {
	Address  string
	Domain   spool.Domain
	Capacity uint32 `json:",omitempty"` // absent in entries of older versions
}

// members registers this proxy in the store and tracks the other proxies of the fleet.
type members struct {
	proxy         *Proxy
	mutex         sync.Mutex
	roster        *roster.Roster
	registryKnown bool // the registry was listed, or the settle time has passed
	sharesChanged bool // updateShares is due in the next round of heartbeats
}

func newMembers(proxy *Proxy) *members {
	self := spool.Member{
		VM: proxy.settings.VM, Domain: proxy.settings.Domain, Address: proxy.settings.Peers, Capacity: capacity(proxy.settings),
	}
	return &members{proxy: proxy, roster: roster.New(self, proxy.domainInRegion)}
}

// capacity returns this VM's capacity, by which all proxies rank it.
func capacity(settings spool.FleetSettings) uint32 {
	return rank.Capacity(settings.Processor, settings.LinkBandwidth, settings.MemoryBytes, settings.Descriptors)
}

// run registers this VM, lists the others and removes those that are gone, until the context ends.
func (members *members) run(ctx context.Context) {
	for members.register(ctx) != nil {
		if !sleep(ctx, registerRetryDelay/2+rand.N(registerRetryDelay)) {
			return
		}
	}
	go members.proxy.listOrders(ctx)
	if members.proxy.settings.Bootstrap && !sleep(ctx, bootstrapDelay) {
		return
	}
	for {
		pause := listInterval/2 + rand.N(listInterval)
		if err := members.listRegistry(ctx); err != nil {
			event.Log(members.proxy.logger, event.MembersListFailed, event.Cause(err))
			pause = registerRetryDelay/2 + rand.N(registerRetryDelay)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// register writes this VM's entry. The entry stays the same until the VM is replaced, so register is idempotent.
func (members *members) register(ctx context.Context) error {
	object, err := members.ownEntry()
	if err != nil {
		return err
	}
	_, err = members.proxy.adapter.Create(ctx, object)
	if !errors.Is(err, spool.ErrConflict) {
		return err
	}
	stored, err := members.proxy.adapter.Get(ctx, kindMember, object.Name)
	if err != nil {
		return err
	}
	if sameMember(stored.Body, object.Body) {
		members.proxy.limiter.accrueSince(members.proxy.started)
		return nil
	}
	object.Version = stored.Version
	_, err = members.proxy.adapter.Put(ctx, object)
	return err
}

func sameMember(stored, own json.RawMessage) bool {
	var left, right memberBody
	if json.Unmarshal(stored, &left) != nil || json.Unmarshal(own, &right) != nil {
		return false // an unreadable entry is overwritten
	}
	return left == right
}

func (members *members) listRegistry(ctx context.Context) error {
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
		listed = append(listed, spool.Member{VM: vm, Domain: body.Domain, Address: body.Address, Capacity: body.Capacity})
	}
	retained := members.proxy.eras.retainsMembers(now)
	members.mutex.Lock()
	for _, member := range listed {
		if !retained || members.roster.Get(member.VM) == nil {
			members.roster.Add(member, now)
		}
	}
	if !retained {
		members.roster.RemoveUnregistered(registered, now)
	}
	members.registryKnown = true
	size := members.roster.Size()
	members.mutex.Unlock()
	members.updateShares()
	event.Log(members.proxy.logger, event.MembersListed, zap.Int("Members", size))
	return nil
}

// addMembers adds proxies to the fleet. While hundreds of proxies start, each of them hears of the others one by one, and the
// shares cost time in proportion to the fleet. In a large fleet they are therefore updated once in a round of heartbeats.
func (members *members) addMembers(found ...spool.Member) {
	now := members.proxy.timers.Now()
	added := false
	members.mutex.Lock()
	for _, member := range found {
		added = members.roster.Add(member, now) || added
	}
	later := members.roster.UsesRelays()
	members.sharesChanged = members.sharesChanged || added && later
	members.mutex.Unlock()
	if added && !later {
		members.updateShares()
	}
}

// version returns a number that increases with each proxy that is added or has moved.
func (members *members) version() uint64 {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Version()
}

// updateShares passes the membership to the pool and the limiter, which divide connections and rates by it. Before the
// registry is known the limiter gets none and issues no tokens, since this proxy would count itself as the only one.
func (members *members) updateShares() {
	settings := &members.proxy.settings
	members.mutex.Lock()
	domains, self := members.roster.Domains(settings.Domain)
	fleet := []quota.Proxy{{VM: settings.VM, Region: settings.Region, Capacity: capacity(*settings)}}
	for _, member := range members.roster.Others() {
		fleet = append(fleet, quota.Proxy{
			VM: member.VM, Region: settings.Regions[member.Domain], Capacity: member.Capacity,
		})
	}
	if slices.ContainsFunc(fleet, func(proxy quota.Proxy) bool { return proxy.Capacity == 0 }) {
		// Proxies of an older version rank without capacities and must agree on the issuers of a rate.
		for i := range fleet {
			fleet[i].Capacity = rank.ReferenceCapacity
		}
	}
	known := members.registryKnown
	members.mutex.Unlock()
	members.proxy.pool.SetFleet(domains, self)
	if known {
		members.proxy.warmup.setFleet(fleet)
		members.proxy.limiter.setFleet(fleet)
	}
}

// finishSettling counts the registry as known once the settle time has passed, in which all other live proxies send heartbeats,
// and updates the shares if members were added.
func (members *members) finishSettling(now spool.Instant) {
	members.mutex.Lock()
	settled := !members.registryKnown && now.Sub(members.proxy.started) > members.roster.SettleTime()
	members.registryKnown = members.registryKnown || settled
	changed := members.sharesChanged
	members.sharesChanged = false
	members.mutex.Unlock()
	if settled || changed {
		members.updateShares()
	}
}

// removeGone removes the entries of proxies whose heartbeats ceased long ago; a proxy that still runs registers again.
func (members *members) removeGone(ctx context.Context) {
	now := members.proxy.timers.Now()
	eligible := members.proxy.eligible() // before locking members: eligible locks them too, and the proxy's mutex is not taken under theirs
	members.mutex.Lock()
	gone := members.roster.Expired(now)
	supervises := members.roster.Supervises(kindMember, members.proxy.settings.Domain, noPreference, eligible, now)
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
	if err := members.listRegistry(ctx); err != nil {
		event.Log(members.proxy.logger, event.MembersListFailed, event.Cause(err))
	}
}

// noPreference ranks the proxies of all failure domains alike.
func noPreference(spool.Domain) bool { return false }

// sleep waits for a duration and returns false if the context ends first.
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
