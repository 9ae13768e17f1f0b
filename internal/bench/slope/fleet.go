package slope

import (
	"encoding/json"
	"fmt"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	partner       = "kyushu"
	domains       = 17
	selfDomain    = "domain-own" // failure domain of the measured VM only, which makes that VM a relay
	objectVersion = 10
)

func memberAt(index int) spool.Member {
	return spool.Member{
		VM:      spool.VM(fmt.Sprintf("vm-%04d", index)),
		Domain:  spool.Domain(fmt.Sprintf("domain-%02d", index%domains)),
		Address: fmt.Sprintf("10.20.%d.%d:7000", index/250, index%250+1), Incarnation: 1_700_000_000_000_000_000,
	}
}

// measuredMember returns the measured VM, the only one in its failure domain.
func measuredMember() spool.Member {
	member := memberAt(0)
	member.Domain = selfDomain
	return member
}

func memberInfos(members int) []*wire.MemberInfo {
	infos := make([]*wire.MemberInfo, 0, members)
	for i := 1; i < members; i++ {
		member := memberAt(i)
		infos = append(infos, &wire.MemberInfo{
			VM: string(member.VM), Domain: string(member.Domain), Address: member.Address,
			Incarnation: member.Incarnation, AgeNanos: 123_456_789,
		})
	}
	return infos
}

// manifestSizes holds the numbers of entries in a manifest.
type manifestSizes struct {
	teams, keys, groups, routes int
}

func teamName(index int) spool.Team   { return spool.Team(fmt.Sprintf("kyushu.team-%05d", index)) }
func groupName(index int) spool.Group { return spool.Group(fmt.Sprintf("kyushu.group-%05d", index)) }

func newManifest(sizes manifestSizes) spool.Manifest {
	manifest := spool.Manifest{Partner: partner}
	for i := range sizes.teams {
		manifest.Teams = append(manifest.Teams, spool.TeamSpec{Name: teamName(i), RatePerSecond: 400, Burst: 800})
	}
	for i := range sizes.keys {
		manifest.Keys = append(manifest.Keys, spool.KeySpec{
			Name: fmt.Sprintf("kyushu.key-%05d", i), Team: teamName(i % sizes.teams), Verifier: verifier(),
		})
	}
	for i := range sizes.groups {
		manifest.Groups = append(manifest.Groups, groupSpec(i))
	}
	for i := range sizes.routes {
		manifest.Routes = append(manifest.Routes, spool.RouteSpec{
			Name: fmt.Sprintf("kyushu.route-%05d", i), Group: groupName(i % sizes.groups),
			Teams: []spool.Team{teamName(i % sizes.teams)}, Reads: []string{"GET", "LIST"},
			Idempotent: []string{"PUT"}, Timeout: spool.Duration(5e9),
		})
	}
	return manifest
}

func groupSpec(index int) spool.GroupSpec {
	spec := spool.GroupSpec{Name: groupName(index), Dialect: "register"}
	for server := range 3 {
		spec.Servers = append(spec.Servers, spool.ServerSpec{
			Name:    spool.Server(fmt.Sprintf("%s-%d", spec.Name, server+1)),
			Address: fmt.Sprintf("10.%d.%d.%d:5432", 30+server, index/250, index%250+1),
			Domain:  memberAt(index + server).Domain, Slots: 3, Connections: 20,
		})
	}
	return spec
}

func verifier() string {
	key := make([]byte, 32)
	return spool.Verifier{Iterations: 4096, Salt: []byte("0123456789abcdef"), StoredKey: key, ServerKey: key}.String()
}

func newObject(kind, name string, version spool.Version, body any) spool.Object {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: kind, Name: name, Version: version, Body: text}
}

func manifestObject(sizes manifestSizes) spool.Object {
	return newObject(spool.KindManifest, partner, objectVersion, newManifest(sizes))
}

// emptyManifests returns manifests without entries for the given number of partners.
func emptyManifests(partners int) []spool.Object {
	objects := make([]spool.Object, 0, partners)
	for i := range partners {
		name := fmt.Sprintf("partner-%04d", i)
		body := spool.Manifest{
			Partner: spool.Partner(name), Teams: []spool.TeamSpec{}, Keys: []spool.KeySpec{},
			Groups: []spool.GroupSpec{}, Routes: []spool.RouteSpec{},
		}
		objects = append(objects, newObject(spool.KindManifest, name, objectVersion, body))
	}
	return objects
}

func quorumObject(members ...spool.VM) spool.Object {
	return lease.Quorum{Members: members}.Object(objectVersion)
}
