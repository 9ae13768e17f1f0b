package main

import (
	"slices"
	"sync"
	"time"

	"corianderspool.example/spool/internal/fake/linecl"
)

const (
	quotaRate   = 117.0 // as in the example of a configuration
	quotaBurst  = 117.0
	quotaWindow = 5 * time.Second
	// quotaLimit is the most that may run in any window: (rate-per-s x window + burst) x (1 + quota-overrun) + quota-slack.
	quotaLimit = (quotaRate*5+quotaBurst)*1.1 + 20

	usualPerSecond = quotaRate / 1.6
	hotFactor      = 7.5
	hotTime        = 6500 * time.Millisecond
)

// runQuota has a tenant's consumers begin transactions, below its rate and burst, and roll back or leave before the first statement.
// After that the tenant sends many times its usual.
func runQuota(record *record, binary string, trouble bool) (broken bool, err error) {
	deployment, err := newDeployment(record, binary, 7, []tenant{
		{Name: "school", Keys: []string{"k-school"}, Rate: quotaRate, Burst: quotaBurst},
	})
	if err != nil {
		return false, err
	}
	defer deployment.stop()
	if err := deployment.startAll(); err != nil {
		return false, err
	}
	for round := range 21 {
		began := time.Now()
		vm := deployment.vms[round%len(deployment.vms)]
		count := abandonTransactions(vm, 100)
		record.log("%s: %d of 100 transactions began; half rolled back and half left", vm.name, count)
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	perSecond := usualPerSecond
	if trouble {
		perSecond *= hotFactor
	}
	record.log("the tenant sends %.0f operations a second", perSecond)
	runs, codes := sendReads(deployment, perSecond)
	record.log("answers: %v", codes)
	most, from := busiestWindow(runs, quotaWindow)
	record.say("%d operations ran; most in a window of %v: %d, from %.3f s; the limit is %.1f", len(runs), quotaWindow, most,
		from.Sub(record.began).Seconds(), quotaLimit)
	return float64(most) > quotaLimit, nil
}

// abandonTransactions begins transactions on sessions of their own and returns how many began. Half of the consumers roll back after
// a pause, the others leave.
func abandonTransactions(vm *vm, count int) (began int) {
	var all sync.WaitGroup
	var mutex sync.Mutex
	for i := range count {
		all.Go(func() {
			client, err := linecl.Dial(vm.front)
			if err != nil {
				return
			}
			defer client.Close()
			client.Open("reading-list", "k-school")
			reply := client.Query("BEGIN READ")
			time.Sleep(250 * time.Millisecond)
			if reply.State != "T" {
				return
			}
			if i%2 == 0 {
				client.Query("ROLLBACK")
			}
			mutex.Lock()
			defer mutex.Unlock()
			began++
		})
	}
	all.Wait()
	return began
}

// sendReads sends reads through all proxies, a steady number a second, and returns those that ran and how many got which answer.
func sendReads(deployment *deployment, perSecond float64) (runs []run, codes map[string]int) {
	const perProxy = 12 // sessions
	pause := time.Duration(float64(perProxy*len(deployment.vms)) / perSecond * float64(time.Second))
	end := time.Now().Add(hotTime)
	sentAt := map[string]time.Time{}
	codes = map[string]int{}
	var mutex sync.Mutex
	var all sync.WaitGroup
	for i, vm := range deployment.vms {
		for j := range perProxy {
			all.Go(func() {
				client, err := linecl.Dial(vm.front)
				if err != nil {
					return
				}
				defer client.Close()
				client.Open("reading-list", "k-school")
				next := time.Now().Add(pause * time.Duration(i*perProxy+j) / time.Duration(perProxy*len(deployment.vms)))
				for next.Before(end) {
					time.Sleep(time.Until(next))
					sent := time.Now()
					reply := client.Query("READ title")
					mutex.Lock()
					sentAt[client.LastID] = sent
					codes[reply.Code]++
					mutex.Unlock()
					next = next.Add(pause)
				}
			})
		}
	}
	all.Wait()
	for _, execution := range deployment.group.Executions() {
		if sent, known := sentAt[execution.ID]; known {
			deployment.log("server %s ran %s of %s, sent at %.3f s, at %.3f s", execution.Server, execution.ID, execution.Team,
				sent.Sub(deployment.began).Seconds(), execution.At.Sub(deployment.began).Seconds())
			runs = append(runs, run{sent, execution.At})
		}
	}
	return runs, codes
}

// run is an operation that a server ran.
type run struct{ sent, ran time.Time }

// busiestWindow returns the most operations that were both sent and run within a window, and when that window begins.
func busiestWindow(runs []run, window time.Duration) (most int, from time.Time) {
	slices.SortFunc(runs, func(left, right run) int { return left.sent.Compare(right.sent) })
	for i, first := range runs {
		count := 0
		for _, other := range runs[i:] {
			if other.sent.Sub(first.sent) > window {
				break
			}
			if other.ran.Sub(first.sent) <= window {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}
