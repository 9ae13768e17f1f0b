package slope

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const meshFleet = 8

func beatMeasures() []measure {
	return []measure{
		line("BeatMesh", "members, no relay", "bytes a heartbeat", []int{2, 8, 16, 32}, meshBeat),
		line("BeatRelay", "members", "bytes a relay's heartbeat", []int{50, 200, 800, 2800}, relayBeat),
		line("BeatManifests", "manifests", "bytes a heartbeat", []int{2, 20, 100, 400}, manifestsBeat),
		line("BeatHeld", "team roles held", "bytes a heartbeat", []int{1, 4, 16, 64}, heldBeat),
		line("HearRelay", "members", "CPU µs a relay's heartbeat", []int{50, 200, 800, 2800}, hearRelay),
		line("HearManifests", "manifests", "CPU µs a heartbeat", []int{2, 20, 100, 400}, hearManifests),
		line("CodeRelay", "members", "CPU µs to encode and decode", []int{50, 200, 800, 2800}, codeRelay),
	}
}

func beatBytes(members int, objects []spool.Object) (float64, error) {
	world := newWorld(members, objects, nil)
	world.advance(warmUp)
	envelope, err := world.nextBeat()
	return float64(proto.Size(envelope)), err
}

func meshBeat(members int) (float64, error) {
	return beatBytes(members, []spool.Object{rosterObject(memberAt(1).VM), manifestObject(sizes{})})
}

func relayBeat(members int) (float64, error) {
	return beatBytes(members, []spool.Object{rosterObject(memberAt(1).VM), manifestObject(sizes{})})
}

func manifestsBeat(manifests int) (float64, error) {
	return beatBytes(meshFleet, append(emptyManifests(manifests), rosterObject(memberAt(1).VM)))
}

// heldBeat measures a heartbeat of a VM that has won all roles.
func heldBeat(teams int) (float64, error) {
	world := seeking(teams, 2, 1, true)
	world.advance(warmUp)
	envelope, err := world.nextBeat()
	return float64(proto.Size(envelope)), err
}

func hearRelay(members int) (float64, error) {
	world := newWorld(members, []spool.Object{rosterObject(memberAt(1).VM), manifestObject(sizes{})}, nil)
	world.advance(warmUp)
	event := world.beat()
	return microsPerCall(func() { world.core.Handle(event, world.now) }), nil
}

func hearManifests(manifests int) (float64, error) {
	objects := append(emptyManifests(manifests), rosterObject(memberAt(1).VM))
	world := newWorld(meshFleet, objects, nil)
	world.advance(warmUp)
	event := world.beat()
	beat := proto.Clone(world.digest).(*wire.Beat)
	beat.Members = nil
	beat.Confirmed = true
	for _, object := range slices.Backward(objects) {
		beat.Versions = append(beat.Versions, &wire.ObjectVersion{
			Kind: object.Kind, Name: object.Name, Version: uint64(object.Version),
		})
	}
	slices.Reverse(beat.Versions)
	event.Envelope.Body = &wire.Envelope_Beat{Beat: beat}
	return microsPerCall(func() { world.core.Handle(event, world.now) }), nil
}

func codeRelay(members int) (float64, error) {
	envelope := &wire.Envelope{
		From: "vm-0001", Body: &wire.Envelope_Beat{Beat: &wire.Beat{Members: infos(members)}},
	}
	return codeMicros(envelope), nil
}

// codeMicros is the processor time to encode and decode a message.
func codeMicros(envelope *wire.Envelope) float64 {
	return microsPerCall(func() {
		encoded, err := proto.Marshal(envelope)
		if err != nil {
			panic(err)
		}
		if err := proto.Unmarshal(encoded, &wire.Envelope{}); err != nil {
			panic(err)
		}
	})
}
