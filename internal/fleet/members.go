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
	"corianderspool.example/spool/internal/wire"
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
			event.Log(members.proxy.logger, event.MembersUnlisted, event.Cause(err))
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
			event.Log(members.proxy.logger, event.EntryIgnored, zap.String("Entry", object.Name), event.Cause(err))
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
	members.roster.Keep(registered, now)
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
	gone := members.roster.Gone(now)
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
		event.Log(members.proxy.logger, event.MembersUnlisted, event.Cause(err))
	}
}

// address returns where a proxy listens for others.
func (members *members) address(vm spool.VM) (string, bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	if member == nil {
		return "", false
	}
	return member.Address, true
}

// liveMembers returns the proxies that were heard lately.
func (members *members) liveMembers() []roster.Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var live []roster.Member
	for _, member := range members.roster.Live(members.proxy.timers.Now()) {
		live = append(live, *member)
	}
	return live
}

// anywhere prefers no failure domain.
func anywhere(spool.Domain) bool { return false }

// supervises tells if this proxy looks after a subject; proxies of preferred failure domains come first.
func (members *members) supervises(subject string, prefer func(domain spool.Domain) bool) bool {
	fit := members.proxy.fit() // before the lock, as in collect
	members.mutex.Lock()
	defer members.mutex.Unlock()
	own := members.proxy.settings.Domain
	return members.roster.Supervises(subject, own, prefer, fit, members.proxy.timers.Now())
}

// homes returns the live proxies of a failure domain's region that come first for a subject, down to this one.
func (members *members) homes(
	subject string, domain spool.Domain, skip func(vm spool.VM, now spool.Instant) bool,
) []spool.VM {
	settings := &members.proxy.settings
	region := settings.Regions[domain]
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.proxy.timers.Now()
	return members.roster.Homes(subject, teamHomes, region == settings.Region, func(member *roster.Member) bool {
		return settings.Regions[member.Domain] == region && !skip(member.VM, now)
	}, now)
}

// near tells if a proxy is in this one's region.
func (members *members) near(vm spool.VM) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	return member != nil && members.roster.Near(member)
}

// nearby counts the live proxies of the region, this one among them.
func (members *members) nearby() int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Nearby(members.proxy.timers.Now())
}

// all returns all other registered proxies.
func (members *members) all() []roster.Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var all []roster.Member
	for _, member := range members.roster.Others() {
		all = append(all, *member)
	}
	return all
}

// links returns the heartbeats that are due in a round.
func (members *members) links(beat uint64, introducing bool, now spool.Instant) (links []roster.Link, relaying bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Links(beat, introducing, now), members.roster.Assists(now)
}

// passing returns the proxies that are told of news at once, and pass them on.
func (members *members) passing(now spool.Instant) []spool.VM {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Passing(now)
}

// size returns the number of registered proxies, this one counted.
func (members *members) size() int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Size()
}

// relayed tells if relays pass heartbeats on.
func (members *members) relayed() bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Relayed()
}

// settleTime returns how long a proxy that starts has to listen before it has heard the other live ones.
func (members *members) settleTime() time.Duration {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.SettleTime()
}

// setSelf notes what heartbeats tell of this proxy and returns how many proxies are known.
func (members *members) setSelf(leaving, storeReached bool) (size int) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.roster.SetSelf(leaving, storeReached)
	return members.roster.Size()
}

// digest answers a proxy that asked for one.
func (members *members) digest(to spool.VM, scope roster.Scope, hash uint64, now spool.Instant) roster.Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.roster.Want(to, now)
	return members.roster.Digest(to, scope, hash, now)
}

// apply takes over a digest and returns the proxies in it that are not known.
func (members *members) apply(from spool.VM, digest *wire.LiveDigest, sent, now spool.Instant) []roster.ID {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Apply(from, decodeDigest(digest), sent, now)
}

// named returns the proxies that a request names.
func (members *members) named(entries []roster.Entry) []spool.Member {
	ids := make([]roster.ID, 0, len(entries))
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Named(ids)
}

// domainRelays returns the relays of all failure domains but this proxy itself, and how many proxies are registered in each.
func (members *members) domainRelays() (relays []spool.VM, domains map[spool.Domain]int) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	domains = map[spool.Domain]int{members.proxy.settings.Domain: 1}
	for _, member := range members.roster.Others() {
		domains[member.Domain]++
	}
	return members.roster.DomainRelays(members.proxy.timers.Now()), domains
}

// inDomain returns the other registered proxies of this one's failure domain and how many of them live.
func (members *members) inDomain() (vms []spool.VM, live int) {
	now := members.proxy.timers.Now()
	members.mutex.Lock()
	defer members.mutex.Unlock()
	own := members.proxy.settings.Domain
	for _, member := range members.roster.Others() {
		if member.Domain == own {
			vms = append(vms, member.VM)
		}
	}
	for _, member := range members.roster.Live(now) {
		if member.Domain == own {
			live++
		}
	}
	return vms, live
}

// heard notes a heartbeat that was sent no earlier than an instant, and tells if it is the first of its sender, who joins the
// fleet if it is new.
func (members *members) heard(from spool.VM, pulse *wire.Pulse, sent spool.Instant) (first bool) {
	if pulse.Address != "" {
		members.add(spool.Member{VM: from, Domain: spool.Domain(pulse.Domain), Address: pulse.Address})
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Hear(from, sent, pulse.Leaving, pulse.StoreReached)
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
