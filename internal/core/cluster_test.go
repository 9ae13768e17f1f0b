package core_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const verifierText = "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// cluster runs cores in simulated time; messages and calls to the platform are delayed and lost as configured.
type cluster struct {
	clock.Simulated
	random      *rand.Rand
	vms         []*vm
	objects     map[string]spool.Object
	version     spool.Version
	down        bool
	stale       bool // lists of the platform return no manifests
	lossPercent int  // of messages
	latency     time.Duration
	cut         map[spool.VM]bool // VMs disconnected from the others
	platformCut map[spool.VM]bool // VMs disconnected from the platform
	watches     int
	options     []core.Option
	calls       int
}

// vm is one proxy's core and the state that its effects set.
type vm struct {
	spool.Member
	cluster  *cluster
	core     *core.Core
	dead     bool
	trusted  bool
	watch    int // number of the running watch, or zero
	snapshot *policy.Snapshot
	versions []spool.Version // of manifests, in the order in which they were applied

	fence       spool.Term // of the newest fence
	openedTerms []openedTerm
}

// openedTerm is a term that a core opened, and the term of the fence at that moment.
type openedTerm struct{ opened, fence spool.Term }

func newCluster(seed uint64, size, domains int, options ...core.Option) *cluster {
	cluster := &cluster{
		random: rand.New(rand.NewPCG(seed, 7)), options: options,
		objects: map[string]spool.Object{}, latency: 2 * time.Millisecond,
		cut: map[spool.VM]bool{}, platformCut: map[spool.VM]bool{},
	}
	for i := range size {
		member := spool.Member{VM: spool.VM(fmt.Sprintf("vm%02d", i)), Domain: spool.Domain(fmt.Sprintf("d%d", i%domains))}
		member.Address = "127.0.0.1:1"
		body, _ := json.Marshal(member)
		cluster.store(spool.Object{Kind: spool.KindMember, Name: string(member.VM), Body: body})
		cluster.vms = append(cluster.vms, &vm{Member: member, cluster: cluster})
	}
	for _, vm := range cluster.vms {
		vm.start()
	}
	return cluster
}

func (cluster *cluster) store(object spool.Object) spool.Object {
	cluster.version++
	object.Version = cluster.version
	cluster.objects[object.Kind+"/"+object.Name] = object
	return object
}

// putManifest replaces the manifest of a partner and returns its version.
func (cluster *cluster) putManifest(manifest spool.Manifest) spool.Version {
	body, _ := json.Marshal(manifest)
	return cluster.store(spool.Object{Kind: spool.KindManifest, Name: string(manifest.Partner), Body: body}).Version
}

func (vm *vm) start() {
	vm.Incarnation++
	vm.dead, vm.trusted, vm.watch = false, false, 0
	vm.snapshot, vm.versions = policy.NewStore().Snapshot(), nil
	vm.core = core.New(vm.Member, vm.cluster.Now(), vm.cluster.options...)
	incarnation := vm.Incarnation
	vm.handle(incarnation, core.Started{})
	var stop func()
	stop = vm.cluster.Every(10*time.Millisecond, spool.TimerFunc(func(spool.Instant) {
		if !vm.handle(incarnation, core.Tick{}) {
			stop()
		}
	}))
}

// handle passes an event to the core unless the VM is dead or has restarted; it reports whether it did.
func (vm *vm) handle(incarnation uint64, event core.Event) bool {
	if vm.dead || vm.Incarnation != incarnation {
		return false
	}
	effects := append([]core.Effect{}, vm.core.Handle(event, vm.cluster.Now())...)
	for _, effect := range effects {
		vm.execute(effect)
	}
	return true
}

func (vm *vm) execute(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Send:
		vm.send(effect)
	case core.ReadObjects:
		vm.callPlatform(func() core.Event { return vm.list(effect.Kinds) }, core.ObjectsFailed{})
	case core.ReadObject:
		read := func() core.Event {
			object := vm.cluster.objects[effect.Kind+"/"+effect.Name]
			object.Kind, object.Name = effect.Kind, effect.Name
			return core.ObjectRead{Object: object}
		}
		vm.callPlatform(read, core.ObjectFailed(effect))
	case core.WriteObject:
		vm.callPlatform(func() core.Event { return vm.write(effect) }, core.ObjectWritten{
			Object: effect.Object, Nonce: effect.Nonce, Result: core.WriteUnknown,
		})
	case core.WatchObjects:
		vm.watch = 0
		if effect.Watch {
			vm.cluster.watches++
			vm.watch = vm.cluster.watches
			vm.poll(vm.watch, effect.After)
		}
	case core.ApplyPolicy:
		vm.snapshot = effect.Snapshot
		vm.versions = append(vm.versions, effect.Change.Version)
	case core.Trust:
		vm.trusted = effect.Trusted
	case core.SetFence:
		vm.fence = effect.Fence.Term
	case core.OpenGroup:
		vm.openedTerms = append(vm.openedTerms, openedTerm{opened: effect.Open.Term, fence: vm.fence})
	}
}

func (vm *vm) send(effect core.Send) {
	cluster := vm.cluster
	if cluster.random.IntN(100) < cluster.lossPercent || cluster.cut[vm.VM] != cluster.cut[effect.To] {
		return
	}
	envelope := proto.Clone(effect.Envelope).(*wire.Envelope)
	delay := time.Duration(cluster.random.Int64N(int64(2 * cluster.latency)))
	cluster.After(delay, spool.TimerFunc(func(spool.Instant) {
		for _, to := range cluster.vms {
			if to.VM == effect.To {
				to.handle(to.Incarnation, core.Received{From: vm.VM, Envelope: envelope})
			}
		}
	}))
}

// callPlatform delivers the platform's answer, or failed after 100 ms if the platform is unreachable.
func (vm *vm) callPlatform(request func() core.Event, failed core.Event) {
	cluster, incarnation := vm.cluster, vm.Incarnation
	cluster.calls++
	cluster.After(cluster.latency, spool.TimerFunc(func(spool.Instant) {
		if cluster.down || cluster.platformCut[vm.VM] {
			cluster.After(100*time.Millisecond, spool.TimerFunc(func(spool.Instant) { vm.handle(incarnation, failed) }))
			return
		}
		answer := request()
		cluster.After(cluster.latency, spool.TimerFunc(func(spool.Instant) { vm.handle(incarnation, answer) }))
	}))
}

func (vm *vm) list(kinds []string) core.Event {
	read := core.ObjectsRead{Version: vm.cluster.version, SentAt: vm.cluster.Now() - spool.Instant(vm.cluster.latency)}
	for _, kind := range kinds {
		for _, object := range vm.cluster.objects {
			if object.Kind == kind && !(vm.cluster.stale && kind == spool.KindManifest) {
				read.Objects = append(read.Objects, object)
			}
		}
	}
	return read
}

func (vm *vm) write(effect core.WriteObject) core.Event {
	written := core.ObjectWritten{Object: effect.Object, Nonce: effect.Nonce, Result: core.WriteConflict}
	stored := vm.cluster.objects[effect.Object.Kind+"/"+effect.Object.Name]
	if stored.Version != effect.Object.Version {
		return written
	}
	written.Object, written.Result = vm.cluster.store(effect.Object), core.WriteDone
	if vm.cluster.random.IntN(100) < vm.cluster.lossPercent {
		written.Result = core.WriteUnknown
	}
	return written
}

// poll simulates a watch: it looks for changes every 20 ms and confirms once per second when there are none.
func (vm *vm) poll(watch int, after spool.Version) {
	cluster, incarnation := vm.cluster, vm.Incarnation
	sentAt := cluster.Now()
	var look func(spool.Instant)
	look = func(now spool.Instant) {
		if vm.watch != watch || vm.dead || vm.Incarnation != incarnation {
			return
		}
		seen := []spool.Object{}
		reachable := !cluster.down && !cluster.platformCut[vm.VM]
		for _, object := range cluster.objects {
			if reachable && object.Version > after {
				seen = append(seen, object)
			}
		}
		if reachable && (len(seen) > 0 || now.Sub(sentAt) >= time.Second) {
			after, sentAt = cluster.version, now
			cluster.calls++
			vm.handle(incarnation, core.ObjectsChanged{Objects: seen, SentAt: sentAt})
		}
		cluster.After(20*time.Millisecond, spool.TimerFunc(look))
	}
	cluster.After(20*time.Millisecond, spool.TimerFunc(look))
}

// manifest returns a small valid manifest with one key.
func manifest(partner spool.Partner, rate float64, withdrawn bool) spool.Manifest {
	name := func(text string) string { return string(partner) + "." + text }
	team := spool.Team(name("team"))
	return spool.Manifest{
		Partner: partner,
		Teams:   []spool.TeamSpec{{Name: team, RatePerSecond: rate, Burst: 10}},
		Keys:    []spool.KeySpec{{Name: name("key"), Team: team, Verifier: verifierText, Withdrawn: withdrawn}},
	}
}
