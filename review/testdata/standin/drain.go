package main

import (
	"fmt"
	"sync"
	"time"
)

// dakar has the figures of dakarform-intake.toml.
var dakar = deployment{
	zones: []string{"dakar-plateau", "thies-centre", "saint-louis-nord"}, proxies: []int{3, 3, 2}, slots: 3, connections: 21,
	bounds: bounds(6, 7000, 4000),
	routes: []map[string]any{
		route("form-submit", "primary", 1000, 600, 0), route("dossier-review", "bounded_staleness", 2000, 1200, 1500),
		route("archive-recall", "read_your_writes", 1000, 1000, 2500),
	},
}

const (
	grace         = 6 * time.Second
	lossSlack     = 200 * time.Millisecond
	reviewBudget  = 12 * time.Second
	reviewReads   = 11 // and the COMMIT: 12 statements
	reviewPause   = 400 * time.Millisecond
	reviewWork    = 100 * time.Millisecond
	reviewCallers = 24
)

// drain stops one proxy by SIGTERM while its callers are inside transactions of the route dossier-review.
func drain(record *record, trouble bool) (int, error) {
	fleet, err := newFleet(dakar, record)
	if err != nil {
		return failed, err
	}
	defer fleet.close()
	for i, zone := range dakar.zones {
		if _, err := fleet.group.add(fmt.Sprintf("i-%d", i+1), zone, dakar.slots, dakar.connections, reviewWork); err != nil {
			return failed, err
		}
	}
	if err := fleet.start(); err != nil {
		return failed, err
	}
	stopped := fleet.proxies[0]
	reviews := &reviews{record: record}
	var running sync.WaitGroup
	time.Sleep(4 * time.Second)
	began := time.Now()
	for i := range reviewCallers {
		running.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / reviewCallers)
			reviews.run(stopped.callers, i)
		})
	}
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	terminated := time.Now()
	if trouble {
		record.note("SIGTERM to %s", stopped.name)
		running.Go(func() {
			stopped.stop(grace)
			record.note("%s has ended", stopped.name)
		})
	}
	running.Wait()
	return reviews.judge(fleet.group, terminated)
}

// reviews are consumers that read a dossier in a transaction with pauses.
type reviews struct {
	record *record
	mutex  sync.Mutex
	done   int // transactions that ended with an answer
	ended  []reply
}

func (reviews *reviews) run(address string, number int) {
	caller, err := openCaller(address, "dossier-review", "key-blue")
	if err != nil {
		reviews.record.note("caller %d: %v", number, err)
		return
	}
	defer caller.close()
	deadline := time.Now().Add(reviewBudget)
	texts := []string{"BEGIN READ"}
	for i := range reviewReads {
		texts = append(texts, fmt.Sprintf("READ d%d", i))
	}
	for _, text := range append(texts, "COMMIT") {
		reply := caller.query(text, time.Until(deadline))
		reviews.record.noteAt(reply.sent, "caller %d sends %s %q", number, reply.id, reply.text)
		reviews.record.noteAt(reply.ended, "caller %d: %s", number, reply)
		if reply.code == "" {
			reviews.mutex.Lock()
			reviews.ended = append(reviews.ended, reply)
			reviews.mutex.Unlock()
			return
		}
		if reply.code != "DONE" {
			break
		}
		time.Sleep(reviewPause)
	}
	reviews.mutex.Lock()
	reviews.done++
	reviews.mutex.Unlock()
}

// judge applies the rule LOST for a SIGTERM: a request that the proxy has read and passed on to a server gets a complete answer.
// Requests that were sent within 3 s of the SIGTERM and were still at work in the last sixth of the grace period don't count, and
// none is sent later than 1 s after the grace period.
func (reviews *reviews) judge(group *group, terminated time.Time) (int, error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if reviews.done+len(reviews.ended) < reviewCallers/2 {
		return failed, fmt.Errorf("only %d transactions ran", reviews.done+len(reviews.ended))
	}
	lost := 0
	for _, reply := range reviews.ended {
		var ranAt time.Time
		var ranOn string
		for _, server := range group.servers {
			if at, ran := server.ran[reply.id]; ran {
				ranAt, ranOn = at, server.id
			}
		}
		sinceTerm := reply.sent.Sub(terminated)
		excused := sinceTerm > grace+time.Second || ranOn == "" ||
			sinceTerm <= 3*time.Second && reply.ended.Sub(terminated) >= grace*5/6
		if !excused {
			lost++
			reviews.record.conclude("LOST: %s, sent %.3f s after SIGTERM, run by %s from %.3f s on, the connection ended at %.3f s without an answer",
				reply, sinceTerm.Seconds(), ranOn, ranAt.Sub(terminated).Seconds(), reply.ended.Sub(terminated).Seconds())
		}
	}
	reviews.record.conclude("%d transactions ended with an answer, %d connections ended without one, %d requests lost", reviews.done,
		len(reviews.ended), lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
