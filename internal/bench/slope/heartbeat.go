package slope

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const meshFleet = 8

func heartbeatMeasures() []measure {
	return []measure{
		line("HeartbeatMesh", "members, no relay", "bytes a heartbeat", []int{2, 8, 16, 32}, meshHeartbeat),
		line("HeartbeatRelay", "members", "bytes a relay's heartbeat", []int{50, 200, 800, 2800}, relayHeartbeat),
		line("HeartbeatManifests", "manifests", "bytes a heartbeat", []int{2, 20, 100, 400}, manifestsHeartbeat),
		line("HeartbeatHeld", "team roles held", "bytes a heartbeat", []int{1, 4, 16, 64}, heldHeartbeat),
		line("HearRelay", "members", "CPU µs a relay's heartbeat", []int{50, 200, 800, 2800}, hearRelay),
		line("HearManifests", "manifests", "CPU µs a heartbeat", []int{2, 20, 100, 400}, hearManifests),
		line("CodeRelay", "members", "CPU µs to encode and decode", []int{50, 200, 800, 2800}, codeRelay),
	}
}

func heartbeatBytes(members int, objects []spool.Object) (float64, error) {
	world := newWorld(members, objects, nil)
	world.advance(warmUp)
	envelope, err := world.nextHeartbeat()
	return float64(proto.Size(envelope)), err
}

func meshHeartbeat(members int) (float64, error) {
	return heartbeatBytes(members, []spool.Object{quorumObject(memberAt(1).VM), manifestObject(sizes{})})
}

func relayHeartbeat(members int) (float64, error) {
	return heartbeatBytes(members, []spool.Object{quorumObject(memberAt(1).VM), manifestObject(sizes{})})
}

func manifestsHeartbeat(manifests int) (float64, error) {
	return heartbeatBytes(meshFleet, append(emptyManifests(manifests), quorumObject(memberAt(1).VM)))
}

// heldHeartbeat measures a heartbeat of a VM that has won all roles.
func heldHeartbeat(teams int) (float64, error) {
	world := seeking(teams, 2, 1, true)
	world.advance(warmUp)
	envelope, err := world.nextHeartbeat()
	return float64(proto.Size(envelope)), err
}

func hearRelay(members int) (float64, error) {
	world := newWorld(members, []spool.Object{quorumObject(memberAt(1).VM), manifestObject(sizes{})}, nil)
	world.advance(warmUp)
	event := world.heartbeat()
	return microsPerCall(func() { world.core.Handle(event, world.now) }), nil
}

func hearManifests(manifests int) (float64, error) {
	objects := append(emptyManifests(manifests), quorumObject(memberAt(1).VM))
	world := newWorld(meshFleet, objects, nil)
	world.advance(warmUp)
	event := world.heartbeat()
	heartbeat := proto.Clone(world.digest).(*wire.Heartbeat)
	heartbeat.Members = nil
	heartbeat.Confirmed = true
	for _, object := range slices.Backward(objects) {
		heartbeat.Versions = append(heartbeat.Versions, &wire.ObjectVersion{
			Kind: object.Kind, Name: object.Name, Version: uint64(object.Version),
		})
	}
	slices.Reverse(heartbeat.Versions)
	event.Envelope.Body = &wire.Envelope_Heartbeat{Heartbeat: heartbeat}
	return microsPerCall(func() { world.core.Handle(event, world.now) }), nil
}

func codeRelay(members int) (float64, error) {
	envelope := &wire.Envelope{
		From: "vm-0001", Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Members: infos(members)}},
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
