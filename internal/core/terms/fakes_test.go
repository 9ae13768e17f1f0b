package terms

import (
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// fakeServer is a backend server whose log is a list of write numbers.
type fakeServer struct {
	spool.ServerSpec
	status spool.ServerStatus
	log    []int
	source *fakeServer
	dead   bool
}

func (server *fakeServer) currentStatus() spool.ServerStatus {
	status := server.status
	status.Server = server.Name
	status.Position = spool.Position(len(server.log))
	return status
}

func (server *fakeServer) promote(term spool.Term) bool {
	if term < server.status.Term || (term == server.status.Term && !server.status.Primary) {
		return false
	}
	if term > server.status.Term {
		server.status = spool.ServerStatus{Term: term, Primary: true, Start: spool.Position(len(server.log))}
	}
	return true
}

func (server *fakeServer) follow(term spool.Term, source *fakeServer) bool {
	if term < server.status.Term || source.status.Term != term || !source.status.Primary {
		return false
	}
	common := 0
	for common < min(len(server.log), len(source.log)) && server.log[common] == source.log[common] {
		common++
	}
	server.log = slices.Clone(server.log[:common])
	server.status = spool.ServerStatus{Term: term}
	server.source = source
	return true
}

func (server *fakeServer) replicate() {
	source := server.source
	if source != nil && !server.status.Primary && source.status.Primary && source.status.Term == server.status.Term {
		server.log = slices.Clone(source.log)
	}
}

// fakePlatform holds the group's record.
type fakePlatform struct {
	record        *wire.TermRecord
	quorum        lease.Quorum
	down          bool
	losesAnswers  bool // loses every third answer of a conditional update that took effect
	writes        int
	conflicts     int
	delay         time.Duration
	primaryByTerm map[uint64]string // the primary recorded for each term
}

func (platform *fakePlatform) write(effect WriteTerm, oracle *oracle) (WriteResult, spool.Version) {
	if platform.record.GetVersion() != uint64(effect.Expected) {
		platform.conflicts++
		return WriteConflict, 0
	}
	record := proto.Clone(effect.Record).(*wire.TermRecord)
	record.Version = platform.record.GetVersion() + 1
	if record.Term < platform.record.GetTerm() {
		oracle.addViolation("the platform's record fell from term %d to %d", platform.record.Term, record.Term)
	}
	if primary, ok := platform.primaryByTerm[record.Term]; ok && primary != record.Primary {
		oracle.addViolation("term %d was recorded for %s and %s", record.Term, primary, record.Primary)
	}
	platform.primaryByTerm[record.Term] = record.Primary
	platform.record = record
	platform.writes++
	if platform.losesAnswers && platform.writes%3 == 0 {
		return WriteUnknown, 0
	}
	return WriteDone, spool.Version(record.Version)
}

func (platform *fakePlatform) writeQuorum(write lease.WriteQuorum) {
	if write.Expected == platform.quorum.Version {
		platform.quorum = write.Quorum
		platform.quorum.Version = write.Expected + 1
	}
}

// acknowledgedWrite is a write that was acknowledged to a caller.
type acknowledgedWrite struct {
	number int
	token  spool.SessionToken
	at     spool.Instant
}

// oracle records all openings and acknowledgements and checks the invariants.
type oracle struct {
	violations []string
	opened     map[spool.Term]spool.Server // the primary of each opened term
	highest    spool.Term                  // highest opened term
	acks       []acknowledgedWrite
	lost       int // acknowledged writes that the newest primary's log lacks
}

func (oracle *oracle) open(effect Open, log []int) {
	if primary, ok := oracle.opened[effect.Term]; ok && primary != effect.Primary {
		oracle.addViolation("term %d was opened for %s and %s", effect.Term, primary, effect.Primary)
	}
	oracle.opened[effect.Term] = effect.Primary
	oracle.highest = max(oracle.highest, effect.Term)
	oracle.lost = 0
	for _, ack := range oracle.acks {
		if int(ack.token.Position) <= len(log) && log[ack.token.Position-1] == ack.number {
			continue
		}
		oracle.lost++
		if !WritesLost(effect.History, ack.token) {
			oracle.addViolation("the loss of %v is not recorded in term %d: %v", ack.token, effect.Term, effect.History)
		}
	}
}

func (oracle *oracle) ack(ack acknowledgedWrite) {
	if ack.token.Term < oracle.highest {
		oracle.addViolation("term %d acknowledged after term %d opened", ack.token.Term, oracle.highest)
	}
	oracle.acks = append(oracle.acks, ack)
}
