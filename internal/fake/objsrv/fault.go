package objsrv

import "corianderspool.example/spool/pkg/spool"

// Faults are the faults that the server injects; shares lie between 0 and 1.
type Faults struct {
	Latency     spool.Duration // added to each call
	ErrorShare  float64        // share of calls answered 503 without any effect
	DownFor     spool.Duration // duration of an outage from now on: calls and waiting watches are closed without an answer
	LoseAnswers float64        // share of changes that take effect and whose connection is then closed without an answer
	StaleReads  float64        // share of gets and lists that return the objects as of SetFaults
}

// Calls holds the numbers of calls by type.
type Calls struct {
	Get        int
	List       int
	Put        int
	Watch      int
	Waiting    int // watches that wait at present
	MaxWaiting int
}

// Total returns the number of all calls.
func (calls Calls) Total() int {
	return calls.Get + calls.List + calls.Put + calls.Watch
}
