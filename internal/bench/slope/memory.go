package slope

import (
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

func memoryMeasures() []measure {
	counts := []int{100, 400, 1600}
	return []measure{
		newMeasure("MemoryMembers", "members", "bytes of the core", []int{100, 400, 1600}, memberMemory),
		newMeasure("MemoryTeams", "teams, owned elsewhere", "bytes of the core", []int{100, 400, 1600}, remoteTeamMemory),
		newMeasure("MemoryKeys", "keys", "bytes of the manifests in force", counts, keyMemory),
		newMeasure("MemoryRoutes", "routes", "bytes of the manifests in force", counts, routeMemory),
		newMeasure("MemoryGroups", "groups of three servers", "bytes of the manifests in force", counts, groupMemory),
		newMeasure("MemoryVotes", "groups voted on", "bytes of the witness", counts, voteMemory),
		newMeasure("MemoryOwner", "VMs that ask", "bytes of the owner", counts, ownerMemory),
		newMeasure("MemoryClients", "teams asked for", "bytes of clients and goroutines", counts, clientMemory),
		newMeasure("MemoryKept", "groups kept, no connections", "bytes of the leader", counts, leaderMemory),
	}
}

func memberMemory(members int) (float64, error) {
	return retainedBytes(func() (any, error) {
		simulation := newSimulation(members, []spool.Object{quorumObject(memberAt(1).VM)}, nil)
		simulation.advance(warmUp)
		return simulation.core, nil
	})
}

func remoteTeamMemory(teams int) (float64, error) {
	return retainedBytes(func() (any, error) {
		simulation := newSimulation(fleetMembers, remoteRoleObjects(teams), nil)
		simulation.advance(warmUp)
		return simulation.core, nil
	})
}

func manifestMemory(sizes manifestSizes) (float64, error) {
	return retainedBytes(func() (any, error) {
		store := policy.NewStore()
		_, faults := store.Apply(manifestObject(sizes))
		if len(faults) > 0 {
			return store, eris.New(faults.Error())
		}
		return store, nil
	})
}

func keyMemory(keys int) (float64, error) { return manifestMemory(manifestSizes{teams: 1, keys: keys}) }

func routeMemory(routes int) (float64, error) {
	return manifestMemory(manifestSizes{teams: 1, groups: 1, routes: routes})
}

func groupMemory(groups int) (float64, error) { return manifestMemory(manifestSizes{groups: groups}) }

func voteMemory(groups int) (float64, error) {
	return retainedBytes(func() (any, error) {
		witness := lease.NewWitness(measuredMember().VM, 0)
		witness.SetQuorum(lease.Quorum{Version: objectVersion, Members: []spool.VM{measuredMember().VM}}, true)
		for i := range groups {
			record := termRecord(4)
			record.Group = string(groupName(i))
			request := &wire.VoteRequest{
				Role: string(lease.GroupRole(groupName(i))), Quorum: objectVersion, Sequence: 1, Record: record,
			}
			witness.Vote(memberAt(i).VM, request, spool.Instant(time.Minute))
		}
		return witness, nil
	})
}

func ownerMemory(vms int) (float64, error) {
	return retainedBytes(func() (any, error) {
		spec := spool.TeamSpec{Name: teamName(1), RatePerSecond: ownedRate, Burst: 2 * ownedRate}
		owner := share.NewOwner(spec, 0)
		for i := range vms {
			request := &wire.GrantRequest{Team: string(spec.Name), Sequence: 1, Want: 1}
			owner.Grant(memberAt(i).VM, request, spool.Instant(time.Second))
		}
		return owner, nil
	})
}

// clientMemory includes a goroutine per client, because the node runs one for each.
func clientMemory(teams int) (float64, error) {
	stop := make(chan struct{})
	defer close(stop)
	return retainedBytes(func() (any, error) {
		clients := []*share.Client{}
		for i := range teams {
			client := share.NewClient(teamName(i), 1, 0)
			clients = append(clients, client)
			go func() {
				select {
				case <-stop:
				case <-time.After(time.Hour):
				}
			}()
		}
		return clients, nil
	})
}

func leaderMemory(groups int) (float64, error) {
	leaders := []*leader.Group{}
	defer func() {
		for _, group := range leaders {
			group.Shutdown()
		}
	}()
	return retainedBytes(func() (any, error) {
		for i := range groups {
			leaders = append(leaders, leader.New(groupSpec(i), &clock.Simulated{}, nil))
		}
		return leaders, nil
	})
}
