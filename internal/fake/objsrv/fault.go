package objsrv

import "corianderspool.example/spool/pkg/spool"

// Faults are the ways in which the API misbehaves; shares lie between 0 and 1.
type Faults struct {
	Latency     spool.Duration // added to each call
	ErrorShare  float64        // calls answered 503 without any effect
	DownFor     spool.Duration // outage from now on: connections are cut, waiting watches too
	LoseAnswers float64        // changes that take effect and whose connection is then cut
	StaleReads  float64        // gets and lists that show the objects as they were when this was set
}

// Calls counts calls by type.
type Calls struct {
	Get        int
	List       int
	Put        int
	Watch      int
	Waiting    int // watches that wait now
	MaxWaiting int
}

// Total returns the number of all calls.
func (calls Calls) Total() int {
	return calls.Get + calls.List + calls.Put + calls.Watch
}
