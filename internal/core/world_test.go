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

// world runs cores on simulated time; messages and calls of the platform get lost and late as the test asks.
type world struct {
	clock.Simulated
	random   *rand.Rand
	vms      []*vm
	objects  map[string]spool.Object
	version  spool.Version
	down     bool
	stale    bool // lists answer from the beginning of time
	loss     int  // of messages, per cent
	latency  time.Duration
	cut      map[spool.VM]bool // from the other VMs
	islanded map[spool.VM]bool // from the platform
	watches  int
	options  []core.Option
	calls    int
}

// vm is one proxy's core and what its shell knows.
type vm struct {
	spool.Member
	world    *world
	core     *core.Core
	dead     bool
	trusted  bool
	watch    int // number of the running watch, zero if none runs
	snapshot *policy.Snapshot
	versions []spool.Version // of manifests, in the order in which they came into force
}

func newWorld(seed uint64, size, domains int, options ...core.Option) *world {
	world := &world{
		random: rand.New(rand.NewPCG(seed, 7)), options: options,
		objects: map[string]spool.Object{}, latency: 2 * time.Millisecond,
		cut: map[spool.VM]bool{}, islanded: map[spool.VM]bool{},
	}
	for i := range size {
		member := spool.Member{VM: spool.VM(fmt.Sprintf("vm%02d", i)), Domain: spool.Domain(fmt.Sprintf("d%d", i%domains))}
		member.Address = "127.0.0.1:1"
		body, _ := json.Marshal(member)
		world.store(spool.Object{Kind: spool.KindMember, Name: string(member.VM), Body: body})
		world.vms = append(world.vms, &vm{Member: member, world: world})
	}
	for _, vm := range world.vms {
		vm.start()
	}
	return world
}

func (world *world) store(object spool.Object) spool.Object {
	world.version++
	object.Version = world.version
	world.objects[object.Kind+"/"+object.Name] = object
	return object
}

// push replaces the manifest of a partner and returns its version.
func (world *world) push(manifest spool.Manifest) spool.Version {
	body, _ := json.Marshal(manifest)
	return world.store(spool.Object{Kind: spool.KindManifest, Name: string(manifest.Partner), Body: body}).Version
}

func (vm *vm) start() {
	vm.Incarnation++
	vm.dead, vm.trusted, vm.watch = false, false, 0
	vm.snapshot, vm.versions = policy.NewStore().Snapshot(), nil
	vm.core = core.New(vm.Member, vm.world.Now(), vm.world.options...)
	incarnation := vm.Incarnation
	vm.handle(incarnation, core.Started{})
	var stop func()
	stop = vm.world.Every(10*time.Millisecond, spool.TimerFunc(func(spool.Instant) {
		if !vm.handle(incarnation, core.Tick{}) {
			stop()
		}
	}))
}

// handle brings an event to the core, unless the VM died or started anew since.
func (vm *vm) handle(incarnation uint64, event core.Event) bool {
	if vm.dead || vm.Incarnation != incarnation {
		return false
	}
	effects := append([]core.Effect{}, vm.core.Handle(event, vm.world.Now())...)
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
		vm.call(func() core.Event { return vm.list(effect.Kinds) }, core.ObjectsFailed{})
	case core.ReadObject:
		read := func() core.Event {
			object := vm.world.objects[effect.Kind+"/"+effect.Name]
			object.Kind, object.Name = effect.Kind, effect.Name
			return core.ObjectRead{Object: object}
		}
		vm.call(read, core.ObjectFailed(effect))
	case core.WriteObject:
		vm.call(func() core.Event { return vm.write(effect) }, core.ObjectWritten{
			Object: effect.Object, Nonce: effect.Nonce, Result: core.Uncertain,
		})
	case core.WatchObjects:
		vm.watch = 0
		if effect.Watch {
			vm.world.watches++
			vm.watch = vm.world.watches
			vm.poll(vm.watch, effect.After)
		}
	case core.ApplyPolicy:
		vm.snapshot = effect.Snapshot
		vm.versions = append(vm.versions, effect.Change.Version)
	case core.Trust:
		vm.trusted = effect.Trusted
	}
}

func (vm *vm) send(effect core.Send) {
	world := vm.world
	if world.random.IntN(100) < world.loss || world.cut[vm.VM] != world.cut[effect.To] {
		return
	}
	envelope := proto.Clone(effect.Envelope).(*wire.Envelope)
	delay := time.Duration(world.random.Int64N(int64(2 * world.latency)))
	world.After(delay, spool.TimerFunc(func(spool.Instant) {
		for _, to := range world.vms {
			if to.VM == effect.To {
				to.handle(to.Incarnation, core.Received{From: vm.VM, Envelope: envelope})
			}
		}
	}))
}

// call asks the platform; when it is down the failure comes after a while.
func (vm *vm) call(ask func() core.Event, failed core.Event) {
	world, incarnation := vm.world, vm.Incarnation
	world.calls++
	world.After(world.latency, spool.TimerFunc(func(spool.Instant) {
		if world.down || world.islanded[vm.VM] {
			world.After(100*time.Millisecond, spool.TimerFunc(func(spool.Instant) { vm.handle(incarnation, failed) }))
			return
		}
		answer := ask()
		world.After(world.latency, spool.TimerFunc(func(spool.Instant) { vm.handle(incarnation, answer) }))
	}))
}

func (vm *vm) list(kinds []string) core.Event {
	read := core.ObjectsRead{Version: vm.world.version, SentAt: vm.world.Now() - spool.Instant(vm.world.latency)}
	for _, kind := range kinds {
		for _, object := range vm.world.objects {
			if object.Kind == kind && !(vm.world.stale && kind == spool.KindManifest) {
				read.Objects = append(read.Objects, object)
			}
		}
	}
	return read
}

func (vm *vm) write(effect core.WriteObject) core.Event {
	written := core.ObjectWritten{Object: effect.Object, Nonce: effect.Nonce, Result: core.Conflict}
	stored := vm.world.objects[effect.Object.Kind+"/"+effect.Object.Name]
	if stored.Version != effect.Object.Version {
		return written
	}
	written.Object, written.Result = vm.world.store(effect.Object), core.Written
	if vm.world.random.IntN(100) < vm.world.loss {
		written.Result = core.Uncertain
	}
	return written
}

// poll looks for changes every 20 ms, as a watch would show them, and confirms once a second when there are none.
func (vm *vm) poll(watch int, after spool.Version) {
	world, incarnation := vm.world, vm.Incarnation
	sentAt := world.Now()
	var look func(spool.Instant)
	look = func(now spool.Instant) {
		if vm.watch != watch || vm.dead || vm.Incarnation != incarnation {
			return
		}
		seen := []spool.Object{}
		reachable := !world.down && !world.islanded[vm.VM]
		for _, object := range world.objects {
			if reachable && object.Version > after {
				seen = append(seen, object)
			}
		}
		if reachable && (len(seen) > 0 || now.Sub(sentAt) >= time.Second) {
			after, sentAt = world.version, now
			world.calls++
			vm.handle(incarnation, core.ObjectsSeen{Objects: seen, SentAt: sentAt})
		}
		world.After(20*time.Millisecond, spool.TimerFunc(look))
	}
	world.After(20*time.Millisecond, spool.TimerFunc(look))
}

// manifest is a small valid one whose key is withdrawn or not.
func manifest(partner spool.Partner, rate float64, withdrawn bool) spool.Manifest {
	name := func(text string) string { return string(partner) + "." + text }
	team := spool.Team(name("team"))
	return spool.Manifest{
		Partner: partner,
		Teams:   []spool.TeamSpec{{Name: team, RatePerSecond: rate, Burst: 10}},
		Keys:    []spool.KeySpec{{Name: name("key"), Team: team, Verifier: verifierText, Withdrawn: withdrawn}},
	}
}
