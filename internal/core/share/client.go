package share

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Client admits one team's requests on one proxy with tokens that the team's owner granted.
type Client struct {
	timing Timing
	team   spool.Team
}

// NewClient returns a client without tokens; incarnation must rise with each start of the VM's proxy.
func NewClient(team spool.Team, incarnation uint64, now spool.Instant, options ...Option) *Client {
	return &Client{timing: newTiming(options), team: team}
}

// Ask admits a request, queues it until its deadline or refuses it; after Queued the caller steps the client at once.
func (client *Client) Ask(id uint64, deadline, now spool.Instant) Answer {
	return Answer{Verdict: Refused}
}

// Cancel drops a queued request and reports whether it was still queued.
func (client *Client) Cancel(id uint64) bool { return false }

// Step decides on queued requests and returns the request to send when one is due.
func (client *Client) Step(now spool.Instant) Outcome { return Outcome{} }

// Due returns the instant at which the client wants to be stepped next.
func (client *Client) Due() spool.Instant { return 0 }

// Receive takes an owner's answer; the caller steps the client at once.
func (client *Client) Receive(answer *wire.GrantAnswer, now spool.Instant) {}

// OwnerChanged tells that another proxy holds the team's role now.
func (client *Client) OwnerChanged(now spool.Instant) {}
