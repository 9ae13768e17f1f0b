package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	rounds       = 6
	roundTime    = 14 * time.Second
	cutTime      = 1300 * time.Millisecond // of the primary from the proxies
	joinTime     = 1700 * time.Millisecond // after the cut began: the new server starts
	drainTime    = 2700 * time.Millisecond // the old one drains
	leaveTime    = 11 * time.Second        // the old one ends
	promoteDelay = time.Second
	writeWork    = 8 * time.Millisecond
)

// failover cuts the primary off from the proxies for a moment, shortly before it is replaced as planned.
func failover(record *record, trouble bool) (int, error) {
	fleet, err := newFleet(dakar, record)
	if err != nil {
		return failed, err
	}
	defer fleet.close()
	group := fleet.group
	group.promoteDelay = promoteDelay
	for i, zone := range dakar.zones {
		if _, err := group.add(fmt.Sprintf("i-%d", i+1), zone, dakar.slots, dakar.connections, writeWork); err != nil {
			return failed, err
		}
	}
	if err := fleet.start(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var writing sync.WaitGroup
	writers := &writers{record: record, route: "form-submit", acked: map[string]reply{}}
	for i := range 14 {
		writing.Go(func() { writers.run(fleet.proxies[i%len(fleet.proxies)].callers, i, stop) })
	}
	time.Sleep(5 * time.Second)
	for round := range rounds {
		if err := playRound(fleet, fmt.Sprintf("i-%d", len(dakar.zones)+1+round), trouble); err != nil {
			return failed, err
		}
	}
	close(stop)
	writing.Wait()
	return writers.judge(group)
}

// playRound replaces the primary by a new server; before, it is cut off.
func playRound(fleet *fleet, added string, trouble bool) error {
	group, began := fleet.group, time.Now()
	group.mutex.Lock()
	old := group.primary
	group.mutex.Unlock()
	if trouble {
		fleet.record.note("the proxies are cut off from %s for %v", old.id, cutTime)
		old.cut(cutTime)
	}
	time.Sleep(time.Until(began.Add(joinTime)))
	fleet.record.note("server %s starts in the zone of %s", added, old.id)
	if _, err := group.add(added, old.zone, dakar.slots, dakar.connections, writeWork); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(drainTime)))
	group.drain(old)
	time.Sleep(time.Until(began.Add(leaveTime)))
	fleet.record.note("%s ends", old.id)
	old.leave()
	fleet.store.Remove("servers", old.id)
	time.Sleep(time.Until(began.Add(roundTime)))
	return nil
}
