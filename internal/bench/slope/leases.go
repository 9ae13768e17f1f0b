package slope

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

func leaseMeasures() []measure {
	return []measure{
		newMeasure("VoteCPU", "roles voted on", "CPU µs a request", []int{100, 1000, 10000}, voteMicros),
		newMeasure("VoteGroupBytes", "terms in a group's record", "bytes of request and answer", []int{1, 2, 4, 8}, groupVoteBytes),
		newMeasure("VoteGroupCode", "terms in a group's record", "CPU µs to encode and decode", []int{1, 2, 4, 8}, groupVoteCodecMicros),
		newMeasure("VoteTeamBytes", "letters of a team's name", "bytes of request and answer", []int{10, 20, 40}, teamVoteBytes),
		newMeasure("VoteTeamCode", "letters of a team's name", "CPU µs to encode and decode", []int{10, 20, 40}, teamVoteCodecMicros),
	}
}

func termRecord(terms int) *wire.TermRecord {
	record := &wire.TermRecord{
		Group: string(groupName(7)), Term: uint64(terms + 1), Primary: string(groupName(7)) + "-1", Start: 123456,
		Opened: true, Holder: "vm-0007", Nonce: 1_700_000_000_000_000_000, Version: 123456,
	}
	for term := range terms {
		record.History = append(record.History, &wire.TermStart{Term: uint64(term + 1), Start: 1000 * uint64(term)})
	}
	return record
}

func voteEnvelopes(role lease.Role, record *wire.TermRecord) (request, answer *wire.Envelope) {
	request = &wire.Envelope{
		From: "vm-0007", Incarnation: memberAt(7).Incarnation,
		Body: &wire.Envelope_VoteRequest{VoteRequest: &wire.VoteRequest{
			Role: string(role), Quorum: objectVersion, Sequence: 123456, Record: record,
			Incarnation: memberAt(7).Incarnation,
		}},
	}
	answer = &wire.Envelope{
		From: "vm-0001", Incarnation: memberAt(1).Incarnation,
		Body: &wire.Envelope_VoteAnswer{VoteAnswer: &wire.VoteAnswer{
			Role: string(role), Sequence: 123456, Granted: true, Quorum: objectVersion, Record: record,
			Incarnation: memberAt(7).Incarnation,
		}},
	}
	return request, answer
}

func groupVote(terms int) (request, answer *wire.Envelope) {
	return voteEnvelopes(lease.GroupRole(groupName(7)), termRecord(terms))
}

func teamVote(letters int) (request, answer *wire.Envelope) {
	return voteEnvelopes(lease.TeamRole(spool.Team(strings.Repeat("a", letters))), nil)
}

func groupVoteBytes(terms int) (float64, error) {
	request, answer := groupVote(terms)
	return float64(proto.Size(request) + proto.Size(answer)), nil
}

func groupVoteCodecMicros(terms int) (float64, error) {
	request, answer := groupVote(terms)
	return codecMicros(request) + codecMicros(answer), nil
}

func teamVoteBytes(letters int) (float64, error) {
	request, answer := teamVote(letters)
	return float64(proto.Size(request) + proto.Size(answer)), nil
}

func teamVoteCodecMicros(letters int) (float64, error) {
	request, answer := teamVote(letters)
	return codecMicros(request) + codecMicros(answer), nil
}

// voteMicros measures one request to a witness that has voted on the given number of roles.
func voteMicros(roles int) (float64, error) {
	witness := lease.NewWitness(measuredMember().VM, 0)
	quorum := lease.Quorum{Version: objectVersion, Members: []spool.VM{measuredMember().VM}}
	witness.SetQuorum(quorum, true)
	now := spool.Instant(10 * time.Second)
	requests := make([]*wire.VoteRequest, 0, roles)
	for i := range roles {
		requests = append(requests, &wire.VoteRequest{
			Role: string(lease.TeamRole(teamName(i))), Quorum: objectVersion, Sequence: 1, Incarnation: 7,
		})
	}
	next := 0
	return microsPerCall(func() {
		witness.Vote("vm-0007", requests[next], now)
		next = (next + 1) % roles
	}), nil
}
