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
	span        = 500 * time.Millisecond
	voteSpan    = 10 * time.Second
	someFleet   = 400
	smallFleet  = 40
	lostRoles   = 800
	callTimeout = 2 * time.Second
	rivalNanos  = int64(700 * time.Millisecond)
)

func coreMeasures() []measure {
	counts := []int{50, 100, 200, 400}
	return []measure{
		line("AssignTick", "roles times members, 400 members", "CPU µs a tick that assigns", counts, assignTick).against(fleetTimes),
		line("AssignRoles", "roles squared, 40 members", "CPU µs a tick that assigns", []int{200, 500, 1000}, assignRoles).against(square),
		line("AssignChange", "roles held elsewhere, 400 members", "CPU µs of 100 ms in which a member leaves", counts, assignChange),
		line("AssignLost", "members lost at once times 800 roles", "CPU µs of 100 ms", []int{10, 50, 150, 300}, assignLost).
			against(func(lost int) float64 { return float64(lost * lostRoles) }),
		line("AssignMembers", "members, 40 roles", "CPU µs a tick that assigns", []int{400, 800, 1600, 2800}, assignMembers),
		line("HeartbeatTick", "members", "CPU µs a tick that sends a relay's heartbeat", counts, heartbeatTick),
		line("PlainTick", "roles held elsewhere", "CPU µs any other tick", []int{50, 200, 800}, plainTick),
		line("EventForeign", "roles held elsewhere", "CPU µs an event", []int{50, 200, 800}, eventForeign),
		line("TickTeams", "team roles held, one witness", "CPU ms/s", []int{4, 8, 16, 32, 64}, heldTeams),
		line("TickGroups", "groups kept and open, one witness", "CPU ms/s", []int{2, 4, 8, 16, 32}, keptGroups),
		line("VotesStart", "roles held elsewhere", "requests in the first 2 s", []int{50, 100, 200, 400}, startVotes),
		line("ReadsOutage", "seconds of an outage after a start", "times that a proxy reads the platform", []int{20, 60, 180}, outageReads),
		line("VotesHolder", "roles held, five witnesses", "requests/s", []int{1, 4, 16}, voteRate(1, true)),
		line("VotesStandby", "roles sought in vain, five witnesses", "requests/s", []int{4, 16, 64}, voteRate(4, false)),
		line("EventGroup", "groups kept and open", "CPU µs a server's status", []int{2, 4, 8, 16, 32}, statusSeen),
		line("TickCandidate", "roles sought in vain", "CPU ms/s", []int{4, 8, 16, 32, 64}, candidate),
	}
}

func square(size int) float64 { return float64(size) * float64(size) }

func fleetTimes(size int) float64 { return float64(size) * someFleet }

func assignTick(roles int) (float64, error) { return foreign(roles, someFleet).assign.mean(), nil }

func assignMembers(members int) (float64, error) {
	return foreign(smallFleet, members).assign.mean(), nil
}

// assignChange lets ten members leave, one in each interval.
func assignChange(roles int) (float64, error) {
	const leaving = 10
	world := foreign(roles, someFleet)
	spent := 0.0
	for i := range leaving {
		world.digest.Members[100+i].Leaving = true
		world.handle(world.heartbeat())
		world.plain, world.assign, world.heartbeats = meter{}, meter{}, meter{}
		world.advance(assignInterval)
		spent += world.millisPerSecond() * 1000 * assignInterval.Seconds()
	}
	return spent / leaving, nil
}

// assignLost lets members leave all at once.
func assignLost(lost int) (float64, error) {
	world := foreign(lostRoles, someFleet)
	for i := range lost {
		world.digest.Members[50+i].Leaving = true
	}
	world.handle(world.heartbeat())
	world.plain, world.assign, world.heartbeats = meter{}, meter{}, meter{}
	world.advance(assignInterval)
	return world.millisPerSecond() * 1000 * assignInterval.Seconds(), nil
}

func assignRoles(roles int) (float64, error) { return foreign(roles, smallFleet).assign.mean(), nil }

func plainTick(roles int) (float64, error) { return foreign(roles, someFleet).plain.mean(), nil }

func heartbeatTick(members int) (float64, error) { return foreign(1, members).heartbeats.mean(), nil }

// foreign is a world where nearly all roles have better candidates.
func foreign(roles, members int) *world {
	world := newWorld(members, foreignObjects(roles), nil)
	world.settle(span)
	return world
}

func foreignObjects(roles int) []spool.Object {
	return []spool.Object{
		quorumObject(memberAt(1).VM, memberAt(2).VM, memberAt(3).VM),
		manifestObject(sizes{teams: roles}),
	}
}

func eventForeign(roles int) (float64, error) {
	world := newWorld(someFleet, foreignObjects(roles), nil)
	world.advance(warmUp)
	event := core.Received{From: memberAt(1).VM, Envelope: &wire.Envelope{
		Body: &wire.Envelope_LocateRequest{LocateRequest: &wire.LocateRequest{Role: "Team/none"}},
	}}
	return microsPerCall(func() { world.core.Handle(event, world.now) }), nil
}

func heldTeams(teams int) (float64, error) {
	objects := []spool.Object{quorumObject(self().VM), manifestObject(sizes{teams: teams})}
	world := newWorld(1, objects, nil)
	world.settle(span)
	return world.millisPerSecond(), nil
}

// keepGroups is a world whose VM keeps all groups, each with an open term.
func keepGroups(groups int) (*world, error) {
	objects := []spool.Object{quorumObject(self().VM), manifestObject(sizes{teams: 1, groups: groups})}
	opened := map[spool.Group]bool{}
	var made *world
	answer := func(effect core.Effect) core.Event {
		switch effect := effect.(type) {
		case core.ReadObject:
			return core.ObjectRead{Object: termObject(effect.Name)}
		case core.OpenGroup:
			opened[effect.Group] = true
		}
		return nil
	}
	made = newWorld(1, objects, answer)
	made.feed = func() {
		for i := range groups {
			for server := range 3 {
				made.handle(status(groupSpec(i), server, made.now))
			}
		}
	}
	for range 300 {
		made.advance(tickInterval)
		if len(opened) == groups {
			return made, nil
		}
	}
	return nil, eris.Errorf("%d of %d groups opened", len(opened), groups)
}

func termObject(group string) spool.Object {
	body, err := json.Marshal(map[string]any{"Group": group, "Term": 3, "Primary": group + "-1", "Start": 7, "Opened": true})
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: spool.KindTerm, Name: group, Version: bootVersion, Body: body}
}

func status(group spool.GroupSpec, server int, now spool.Instant) core.GroupEvent {
	return core.GroupEvent{Group: group.Name, Event: terms.StatusSeen{SentAt: now, Status: spool.ServerStatus{
		Server: group.Servers[server].Name, Term: 3, Position: 100, Primary: server == 0, Start: 7,
	}}}
}

func keptGroups(groups int) (float64, error) {
	world, err := keepGroups(groups)
	if err != nil {
		return 0, err
	}
	world.settle(span)
	return world.millisPerSecond(), nil
}

func statusSeen(groups int) (float64, error) {
	world, err := keepGroups(groups)
	if err != nil {
		return 0, err
	}
	event := status(groupSpec(0), 0, world.now)
	return microsPerCall(func() { world.core.Handle(event, world.now) }), nil
}

// voting answers for all witnesses: it grants every request, or refuses it for a rival.
func voting(granted bool) func(effect core.Effect) core.Event {
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
			answer.RemainingNanos = rivalNanos
		}
		return core.Received{From: send.To, Envelope: &wire.Envelope{
			Body: &wire.Envelope_VoteAnswer{VoteAnswer: answer},
		}}
	}
}

// seeking is a world of few VMs whose witnesses are all elsewhere, so that it is among the candidates of each role.
func seeking(roles, members, witnesses int, granted bool) *world {
	vms := []spool.VM{}
	for i := range witnesses {
		vms = append(vms, memberAt(100+i).VM)
	}
	objects := []spool.Object{quorumObject(vms...), manifestObject(sizes{teams: roles})}
	return newWorld(members, objects, voting(granted))
}

func candidate(roles int) (float64, error) {
	world := seeking(roles, 4, 1, false)
	world.settle(span)
	return world.millisPerSecond(), nil
}

// outageReads counts the reads of a proxy whose platform answers none within the time of a call.
func outageReads(seconds int) (float64, error) {
	proxy := core.New(self(), 0)
	reads := 0
	failsAt := spool.Instant(0)
	for now := spool.Instant(0); now < spool.Instant(time.Duration(seconds)*time.Second); now = now.Add(tickInterval) {
		var event core.Event = core.Tick{}
		if failsAt > 0 && now >= failsAt {
			event = core.ObjectsFailed{}
			failsAt = 0
		}
		for _, effect := range proxy.Handle(event, now) {
			if _, isRead := effect.(core.ReadObjects); isRead {
				reads++
				failsAt = now.Add(callTimeout)
			}
		}
	}
	return float64(reads), nil
}

// startVotes counts what a proxy asks for before and after it knows the fleet.
func startVotes(roles int) (float64, error) {
	world := newWorld(someFleet, foreignObjects(roles), voting(false))
	world.advance(warmUp)
	return float64(world.votes), nil
}

// voteRate counts the requests to five witnesses.
func voteRate(members int, granted bool) func(roles int) (float64, error) {
	return func(roles int) (float64, error) {
		world := seeking(roles, members, 5, granted)
		world.advance(warmUp)
		before := world.votes
		world.advance(voteSpan)
		return float64(world.votes-before) / voteSpan.Seconds(), nil
	}
}
