package slope

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const meshMembers = 8

func heartbeatMeasures() []measure {
	return []measure{
		newMeasure("HeartbeatMesh", "members, no relay", "bytes a heartbeat", []int{2, 8, 16, 32}, meshHeartbeatBytes),
		newMeasure("HeartbeatRelay", "members", "bytes a relay's heartbeat", []int{50, 200, 800, 2800}, relayHeartbeatBytes),
		newMeasure("HeartbeatManifests", "manifests", "bytes a heartbeat", []int{2, 20, 100, 400}, manifestsHeartbeatBytes),
		newMeasure("HeartbeatHeld", "team roles held", "bytes a heartbeat", []int{1, 4, 16, 64}, heldRolesHeartbeatBytes),
		newMeasure("HearRelay", "members", "CPU µs a relay's heartbeat", []int{50, 200, 800, 2800}, relayHeartbeatMicros),
		newMeasure("HearManifests", "manifests", "CPU µs a heartbeat", []int{2, 20, 100, 400}, manifestsHeartbeatMicros),
		newMeasure("CodeRelay", "members", "CPU µs to encode and decode", []int{50, 200, 800, 2800}, relayHeartbeatCodecMicros),
	}
}

func heartbeatBytes(members int, objects []spool.Object) (float64, error) {
	simulation := newSimulation(members, objects, nil)
	simulation.advance(warmUp)
	envelope, err := simulation.nextHeartbeat()
	return float64(proto.Size(envelope)), err
}

func meshHeartbeatBytes(members int) (float64, error) {
	return heartbeatBytes(members, []spool.Object{quorumObject(memberAt(1).VM), manifestObject(manifestSizes{})})
}

func relayHeartbeatBytes(members int) (float64, error) {
	return heartbeatBytes(members, []spool.Object{quorumObject(memberAt(1).VM), manifestObject(manifestSizes{})})
}

func manifestsHeartbeatBytes(manifests int) (float64, error) {
	return heartbeatBytes(meshMembers, append(emptyManifests(manifests), quorumObject(memberAt(1).VM)))
}

// heldRolesHeartbeatBytes measures a heartbeat of a VM that holds the leases of all roles.
func heldRolesHeartbeatBytes(teams int) (float64, error) {
	simulation := newCandidateSimulation(teams, 2, 1, true)
	simulation.advance(warmUp)
	envelope, err := simulation.nextHeartbeat()
	return float64(proto.Size(envelope)), err
}

func relayHeartbeatMicros(members int) (float64, error) {
	simulation := newSimulation(members, []spool.Object{quorumObject(memberAt(1).VM), manifestObject(manifestSizes{})}, nil)
	simulation.advance(warmUp)
	event := simulation.heartbeat()
	return microsPerCall(func() { simulation.core.Handle(event, simulation.now) }), nil
}

func manifestsHeartbeatMicros(manifests int) (float64, error) {
	objects := append(emptyManifests(manifests), quorumObject(memberAt(1).VM))
	simulation := newSimulation(meshMembers, objects, nil)
	simulation.advance(warmUp)
	event := simulation.heartbeat()
	heartbeat := proto.Clone(simulation.relayHeartbeat).(*wire.Heartbeat)
	heartbeat.Members = nil
	heartbeat.Confirmed = true
	for _, object := range slices.Backward(objects) {
		heartbeat.Versions = append(heartbeat.Versions, &wire.ObjectVersion{
			Kind: object.Kind, Name: object.Name, Version: uint64(object.Version),
		})
	}
	slices.Reverse(heartbeat.Versions)
	event.Envelope.Body = &wire.Envelope_Heartbeat{Heartbeat: heartbeat}
	return microsPerCall(func() { simulation.core.Handle(event, simulation.now) }), nil
}

func relayHeartbeatCodecMicros(members int) (float64, error) {
	envelope := &wire.Envelope{
		From: "vm-0001", Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Members: memberInfos(members)}},
	}
	return codecMicros(envelope), nil
}

// codecMicros returns the CPU time to encode and decode a message.
func codecMicros(envelope *wire.Envelope) float64 {
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
