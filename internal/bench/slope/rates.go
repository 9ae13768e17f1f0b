package slope

import (
	"time"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	pollInterval = 10 * time.Millisecond
	ownedRate    = 1000 // tokens a second
)

func rateMeasures() []measure {
	return []measure{
		newMeasure("GrantIdle", "VMs that ask within the rate", "CPU µs a request", []int{8, 32, 128, 512}, grantIdle),
		newMeasure("GrantOver", "VMs that ask above the rate", "CPU µs a request", []int{8, 32, 128, 512}, grantOver),
		newMeasure("GrantBytes", "grants reported", "bytes of request and answer", []int{0, 1, 2, 4}, grantBytes),
		newMeasure("GrantCode", "grants reported", "CPU µs to encode and decode", []int{0, 1, 2, 4}, grantCodecMicros),
		newMeasure("TokenRequests", "statements a second of a team on a proxy", "requests/s", []int{25, 100, 400}, tokenRequests).scaledBy(statementsPerSecond),
		newMeasure("TokenRequestsMany", "statements a second of a team on a proxy", "requests/s", []int{1000, 10000, 100000}, tokenRequests).scaledBy(statementsPerSecond),
		newMeasure("ClientStep", "requests admitted a step", "CPU µs a step", []int{0, 1, 4, 16}, clientStep),
	}
}

// grantMicros measures one request to an owner that receives a request from each VM once per pollInterval.
func grantMicros(vms int, want float64) float64 {
	spec := spool.TeamSpec{Name: teamName(1), RatePerSecond: ownedRate, Burst: 2 * ownedRate}
	owner := share.NewOwner(spec, 0)
	now := spool.Instant(time.Second)
	step := spool.Instant(int(pollInterval) / vms)
	sequence := uint64(0)
	vm := 0
	names := make([]spool.VM, vms)
	for i := range names {
		names[i] = memberAt(i).VM
	}
	return microsPerCall(func() {
		sequence++
		now += step
		owner.Grant(names[vm], &wire.GrantRequest{Team: string(teamName(1)), Sequence: sequence, Want: want}, now)
		vm = (vm + 1) % vms
	})
}

func grantIdle(vms int) (float64, error) { return grantMicros(vms, 0), nil }

func grantOver(vms int) (float64, error) {
	return grantMicros(vms, 5*ownedRate/100/float64(vms)+1), nil
}

func grantEnvelopes(reports int) (request, answer *wire.Envelope) {
	grantRequest := &wire.GrantRequest{Team: string(teamName(7)), Sequence: 1 << 50, Want: 12}
	for i := range reports {
		grantRequest.Returned = append(grantRequest.Returned, &wire.GrantUse{Grant: 1<<50 - uint64(i), Unused: 3})
	}
	request = &wire.Envelope{
		From: "vm-0007", Incarnation: memberAt(7).Incarnation,
		Body: &wire.Envelope_GrantRequest{GrantRequest: grantRequest},
	}
	answer = &wire.Envelope{
		From: "vm-0001", Incarnation: memberAt(1).Incarnation,
		Body: &wire.Envelope_GrantAnswer{GrantAnswer: &wire.GrantAnswer{
			Team: string(teamName(7)), Sequence: 1 << 50, Grant: 1 << 50, Tokens: 12, LifeNanos: 300_000_000,
		}},
	}
	return request, answer
}

func grantBytes(reports int) (float64, error) {
	request, answer := grantEnvelopes(reports)
	return float64(proto.Size(request) + proto.Size(answer)), nil
}

func grantCodecMicros(reports int) (float64, error) {
	request, answer := grantEnvelopes(reports)
	return codecMicros(request) + codecMicros(answer), nil
}

// clientStep measures a step of a client that gets the given number of requests and is granted all tokens it asks for.
func clientStep(requests int) (float64, error) {
	now := spool.Instant(0)
	client := share.NewClient(teamName(1), 1, now)
	id := uint64(0)
	return microsPerCall(func() {
		now = now.Add(pollInterval)
		for range requests {
			id++
			client.Acquire(id, now.Add(time.Second), now)
		}
		if request := client.Step(now).Request; request != nil {
			client.Receive(&wire.GrantAnswer{
				Team: request.Team, Sequence: request.Sequence, Grant: request.Sequence,
				Tokens: request.Want, LifeNanos: 300_000_000,
			}, now)
		}
	}), nil
}
