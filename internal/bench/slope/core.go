package slope

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	measuredDuration = 500 * time.Millisecond
	voteDuration     = 10 * time.Second
	fleetMembers     = 400 // members in measures that vary something else
	smallCount       = 40  // members or roles, in measures that vary the other
	lostRoles        = 800 // team roles in AssignLost
	platformTimeout  = 2 * time.Second
	rivalLeaseNanos  = int64(700 * time.Millisecond)
)

func coreMeasures() []measure {
	counts := []int{50, 100, 200, 400}
	return []measure{
		newMeasure("AssignTick", "roles times members, 400 members", "CPU µs a tick that assigns", counts, assignTick).scaledBy(timesFleetMembers),
		newMeasure("AssignRoles", "roles squared, 40 members", "CPU µs a tick that assigns", []int{200, 500, 1000}, assignRoles).scaledBy(square),
		newMeasure("AssignChange", "roles held elsewhere, 400 members", "CPU µs of 100 ms in which a member leaves", counts, assignChange),
		newMeasure("AssignLost", "members lost at once times 800 roles", "CPU µs of 100 ms", []int{10, 50, 150, 300}, assignLost).
			scaledBy(func(lost int) float64 { return float64(lost * lostRoles) }),
		newMeasure("AssignMembers", "members, 40 roles", "CPU µs a tick that assigns", []int{400, 800, 1600, 2800}, assignMembers),
		newMeasure("HeartbeatTick", "members", "CPU µs a tick that sends a relay's heartbeat", counts, heartbeatTick),
		newMeasure("PlainTick", "roles held elsewhere", "CPU µs any other tick", []int{50, 200, 800}, plainTick),
		newMeasure("EventForeign", "roles held elsewhere", "CPU µs an event", []int{50, 200, 800}, remoteRolesEventMicros),
		newMeasure("TickTeams", "team roles held, one witness", "CPU ms/s", []int{4, 8, 16, 32, 64}, heldTeamsCPU),
		newMeasure("TickGroups", "groups kept and open, one witness", "CPU ms/s", []int{2, 4, 8, 16, 32}, ledGroupsCPU),
		newMeasure("VotesStart", "roles held elsewhere", "requests in the first 2 s", []int{50, 100, 200, 400}, startVotes),
		newMeasure("ReadsOutage", "seconds of an outage after a start", "times that a proxy reads the platform", []int{20, 60, 180}, outageReads),
		newMeasure("VotesHolder", "roles held, five witnesses", "requests/s", []int{1, 4, 16}, voteRate(1, true)),
		newMeasure("VotesStandby", "roles sought in vain, five witnesses", "requests/s", []int{4, 16, 64}, voteRate(4, false)),
		newMeasure("EventGroup", "groups kept and open", "CPU µs a server's status", []int{2, 4, 8, 16, 32}, statusMicros),
		newMeasure("TickCandidate", "roles sought in vain", "CPU ms/s", []int{4, 8, 16, 32, 64}, candidateCPU),
	}
}

func square(size int) float64 { return float64(size) * float64(size) }

func timesFleetMembers(size int) float64 { return float64(size) * fleetMembers }

func assignTick(roles int) (float64, error) {
	return newRemoteRolesSimulation(roles, fleetMembers).assignTicks.mean(), nil
}

func assignMembers(members int) (float64, error) {
	return newRemoteRolesSimulation(smallCount, members).assignTicks.mean(), nil
}

// assignChange measures an interval in which a member leaves, as the mean of ten intervals.
func assignChange(roles int) (float64, error) {
	const leaving = 10
	simulation := newRemoteRolesSimulation(roles, fleetMembers)
	spent := 0.0
	for i := range leaving {
		simulation.relayHeartbeat.Members[100+i].Leaving = true
		simulation.handle(simulation.heartbeat())
		simulation.plainTicks, simulation.assignTicks, simulation.heartbeatTicks = meter{}, meter{}, meter{}
		simulation.advance(assignInterval)
		spent += simulation.cpuMillisPerSecond() * 1000 * assignInterval.Seconds()
	}
	return spent / leaving, nil
}

// assignLost measures the interval after the given number of members have left at once.
func assignLost(lost int) (float64, error) {
	simulation := newRemoteRolesSimulation(lostRoles, fleetMembers)
	for i := range lost {
		simulation.relayHeartbeat.Members[50+i].Leaving = true
	}
	simulation.handle(simulation.heartbeat())
	simulation.plainTicks, simulation.assignTicks, simulation.heartbeatTicks = meter{}, meter{}, meter{}
	simulation.advance(assignInterval)
	return simulation.cpuMillisPerSecond() * 1000 * assignInterval.Seconds(), nil
}

func assignRoles(roles int) (float64, error) {
	return newRemoteRolesSimulation(roles, smallCount).assignTicks.mean(), nil
}

func plainTick(roles int) (float64, error) {
	return newRemoteRolesSimulation(roles, fleetMembers).plainTicks.mean(), nil
}

func heartbeatTick(members int) (float64, error) {
	return newRemoteRolesSimulation(1, members).heartbeatTicks.mean(), nil
}

// newRemoteRolesSimulation simulates a VM for which nearly all roles have better candidates elsewhere.
func newRemoteRolesSimulation(roles, members int) *simulation {
	simulation := newSimulation(members, remoteRoleObjects(roles), nil)
	simulation.warmUpAndMeasure(measuredDuration)
	return simulation
}

func remoteRoleObjects(roles int) []spool.Object {
	return []spool.Object{
		quorumObject(memberAt(1).VM, memberAt(2).VM, memberAt(3).VM),
		manifestObject(manifestSizes{teams: roles}),
	}
}

func remoteRolesEventMicros(roles int) (float64, error) {
	simulation := newSimulation(fleetMembers, remoteRoleObjects(roles), nil)
	simulation.advance(warmUp)
	event := core.Received{From: memberAt(1).VM, Envelope: &wire.Envelope{
		Body: &wire.Envelope_LocateRequest{LocateRequest: &wire.LocateRequest{Role: "Team/none"}},
	}}
	return microsPerCall(func() { simulation.core.Handle(event, simulation.now) }), nil
}

func heldTeamsCPU(teams int) (float64, error) {
	objects := []spool.Object{quorumObject(measuredMember().VM), manifestObject(manifestSizes{teams: teams})}
	simulation := newSimulation(1, objects, nil)
	simulation.warmUpAndMeasure(measuredDuration)
	return simulation.cpuMillisPerSecond(), nil
}

// newLeaderSimulation simulates a VM that leads all groups, each with an open term.
func newLeaderSimulation(groups int) (*simulation, error) {
	objects := []spool.Object{quorumObject(measuredMember().VM), manifestObject(manifestSizes{teams: 1, groups: groups})}
	opened := map[spool.Group]bool{}
	var simulation *simulation
	respond := func(effect core.Effect) core.Event {
		switch effect := effect.(type) {
		case core.ReadObject:
			return core.ObjectRead{Object: termObject(effect.Name)}
		case core.OpenGroup:
			opened[effect.Group] = true
		}
		return nil
	}
	simulation = newSimulation(1, objects, respond)
	simulation.beforeTick = func() {
		for i := range groups {
			for server := range 3 {
				simulation.handle(statusEvent(groupSpec(i), server, simulation.now))
			}
		}
	}
	for range 300 {
		simulation.advance(tickInterval)
		if len(opened) == groups {
			return simulation, nil
		}
	}
	return nil, eris.Errorf("leader opened only %d of %d groups", len(opened), groups)
}

func termObject(group string) spool.Object {
	body, err := json.Marshal(map[string]any{"Group": group, "Term": 3, "Primary": group + "-1", "Start": 7, "Opened": true})
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: spool.KindTerm, Name: group, Version: objectVersion, Body: body}
}

func statusEvent(group spool.GroupSpec, server int, now spool.Instant) core.GroupEvent {
	return core.GroupEvent{Group: group.Name, Event: terms.StatusReceived{SentAt: now, Status: spool.ServerStatus{
		Server: group.Servers[server].Name, Term: 3, Position: 100, Primary: server == 0, Start: 7,
	}}}
}

func ledGroupsCPU(groups int) (float64, error) {
	simulation, err := newLeaderSimulation(groups)
	if err != nil {
		return 0, err
	}
	simulation.warmUpAndMeasure(measuredDuration)
	return simulation.cpuMillisPerSecond(), nil
}

func statusMicros(groups int) (float64, error) {
	simulation, err := newLeaderSimulation(groups)
	if err != nil {
		return 0, err
	}
	event := statusEvent(groupSpec(0), 0, simulation.now)
	return microsPerCall(func() { simulation.core.Handle(event, simulation.now) }), nil
}

// witnessAnswers simulates all witnesses, which grant every request or refuse it because another VM holds the lease.
func witnessAnswers(granted bool) func(effect core.Effect) core.Event {
	return func(effect core.Effect) core.Event {
		send, isSend := effect.(core.Send)
		if !isSend || send.Envelope.GetVoteRequest() == nil {
			return nil
		}
		request := send.Envelope.GetVoteRequest()
		answer := &wire.VoteAnswer{
			Role: request.Role, Sequence: request.Sequence, Incarnation: request.Incarnation,
			Quorum: request.Quorum, Granted: granted,
		}
		if !granted && !request.Release {
			answer.Holder = string(memberAt(2).VM)
			answer.RemainingNanos = rivalLeaseNanos
		}
		return core.Received{From: send.To, Envelope: &wire.Envelope{
			Body: &wire.Envelope_VoteAnswer{VoteAnswer: answer},
		}}
	}
}

// newCandidateSimulation simulates a small fleet whose witnesses are other VMs, so that the VM is a candidate for each role.
func newCandidateSimulation(roles, members, witnesses int, granted bool) *simulation {
	vms := []spool.VM{}
	for i := range witnesses {
		vms = append(vms, memberAt(100+i).VM)
	}
	objects := []spool.Object{quorumObject(vms...), manifestObject(manifestSizes{teams: roles})}
	return newSimulation(members, objects, witnessAnswers(granted))
}

func candidateCPU(roles int) (float64, error) {
	simulation := newCandidateSimulation(roles, 4, 1, false)
	simulation.warmUpAndMeasure(measuredDuration)
	return simulation.cpuMillisPerSecond(), nil
}

// outageReads counts the reads of a proxy whose calls to the platform all time out.
func outageReads(seconds int) (float64, error) {
	proxy := core.New(measuredMember(), 0)
	reads := 0
	timeoutAt := spool.Instant(0)
	for now := spool.Instant(0); now < spool.Instant(time.Duration(seconds)*time.Second); now = now.Add(tickInterval) {
		var event core.Event = core.Tick{}
		if timeoutAt > 0 && now >= timeoutAt {
			event = core.ObjectsFailed{}
			timeoutAt = 0
		}
		for _, effect := range proxy.Handle(event, now) {
			if _, isRead := effect.(core.ReadObjects); isRead {
				reads++
				timeoutAt = now.Add(platformTimeout)
			}
		}
	}
	return float64(reads), nil
}

// startVotes counts a proxy's vote requests after a start, including those before the first heartbeat reports the fleet.
func startVotes(roles int) (float64, error) {
	simulation := newSimulation(fleetMembers, remoteRoleObjects(roles), witnessAnswers(false))
	simulation.advance(warmUp)
	return float64(simulation.votes), nil
}

// voteRate returns a measure of the vote requests per second to five witnesses.
func voteRate(members int, granted bool) func(roles int) (float64, error) {
	return func(roles int) (float64, error) {
		simulation := newCandidateSimulation(roles, members, 5, granted)
		simulation.advance(warmUp)
		before := simulation.votes
		simulation.advance(voteDuration)
		return float64(simulation.votes-before) / voteDuration.Seconds(), nil
	}
}
