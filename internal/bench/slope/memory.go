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
		line("MemoryMembers", "members", "bytes of the core", []int{100, 400, 1600}, memberMemory),
		line("MemoryTeams", "teams, owned elsewhere", "bytes of the core", []int{100, 400, 1600}, foreignMemory),
		line("MemoryKeys", "keys", "bytes of the manifests in force", counts, keyMemory),
		line("MemoryRoutes", "routes", "bytes of the manifests in force", counts, routeMemory),
		line("MemoryGroups", "groups of three servers", "bytes of the manifests in force", counts, groupMemory),
		line("MemoryVotes", "groups voted on", "bytes of the witness", counts, voteMemory),
		line("MemoryOwner", "VMs that ask", "bytes of the owner", counts, ownerMemory),
		line("MemoryClients", "teams asked for", "bytes of clients and goroutines", counts, clientMemory),
		line("MemoryKept", "groups kept, no connections", "bytes of the leader", counts, keptMemory),
	}
}

func memberMemory(members int) (float64, error) {
	return bytesOf(func() (any, error) {
		world := newWorld(members, []spool.Object{quorumObject(memberAt(1).VM)}, nil)
		world.advance(warmUp)
		return world.core, nil
	})
}

func foreignMemory(teams int) (float64, error) {
	return bytesOf(func() (any, error) {
		world := newWorld(someFleet, foreignObjects(teams), nil)
		world.advance(warmUp)
		return world.core, nil
	})
}

func manifestMemory(sizes sizes) (float64, error) {
	return bytesOf(func() (any, error) {
		store := policy.NewStore()
		_, faults := store.Apply(manifestObject(sizes))
		if len(faults) > 0 {
			return store, eris.New(faults.Error())
		}
		return store, nil
	})
}

func keyMemory(keys int) (float64, error) { return manifestMemory(sizes{teams: 1, keys: keys}) }

func routeMemory(routes int) (float64, error) {
	return manifestMemory(sizes{teams: 1, groups: 1, routes: routes})
}

func groupMemory(groups int) (float64, error) { return manifestMemory(sizes{groups: groups}) }

func voteMemory(groups int) (float64, error) {
	return bytesOf(func() (any, error) {
		witness := lease.NewWitness(self().VM, 0)
		witness.Confirm(lease.Quorum{Version: bootVersion, Members: []spool.VM{self().VM}}, true)
		for i := range groups {
			record := termRecord(4)
			record.Group = string(groupName(i))
			request := &wire.VoteRequest{
				Role: string(lease.GroupRole(groupName(i))), Quorum: bootVersion, Sequence: 1, Record: record,
			}
			witness.Vote(memberAt(i).VM, request, spool.Instant(time.Minute))
		}
		return witness, nil
	})
}

func ownerMemory(vms int) (float64, error) {
	return bytesOf(func() (any, error) {
		spec := spool.TeamSpec{Name: teamName(1), RatePerSecond: ownedRate, Burst: 2 * ownedRate}
		owner := share.NewOwner(spec, 0)
		for i := range vms {
			request := &wire.GrantRequest{Team: string(spec.Name), Sequence: 1, Want: 1}
			owner.Grant(memberAt(i).VM, request, spool.Instant(time.Second))
		}
		return owner, nil
	})
}

// clientMemory counts a goroutine for each client, as the node runs one.
func clientMemory(teams int) (float64, error) {
	stop := make(chan struct{})
	defer close(stop)
	return bytesOf(func() (any, error) {
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

func keptMemory(groups int) (float64, error) {
	kept := []*leader.Group{}
	defer func() {
		for _, group := range kept {
			group.Drop()
		}
	}()
	return bytesOf(func() (any, error) {
		for i := range groups {
			kept = append(kept, leader.New(groupSpec(i), &clock.Simulated{}, nil))
		}
		return kept, nil
	})
}
