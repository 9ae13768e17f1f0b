package main

import (
	"sync"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/linecl"
)

// runGrace shortens grace-s in the settings of a running proxy, tells it by SIGHUP, and stops it some time later as the platform
// does: SIGTERM, and SIGKILL after the grace-s of its settings. Consumers are in the middle of transactions meanwhile.
func runGrace(record *record, binary string, trouble bool) (broken bool, err error) {
	deployment, err := newDeployment(record, binary, 3, []tenant{{Name: "counter", Keys: []string{"k-counter"}, Rate: 400, Burst: 400}})
	if err != nil {
		return false, err
	}
	defer deployment.stop()
	for _, server := range deployment.group.Servers() {
		server.WorkTime = 250 * time.Millisecond // reading-list: 40 ms on average, 300 ms at most
	}
	const grace = 6
	if trouble {
		deployment.bounds["grace-s"] = 2 * grace
	}
	if err := deployment.startAll(); err != nil {
		return false, err
	}
	stopped := deployment.vms[0]
	if trouble {
		deployment.bounds["grace-s"] = grace
		for _, vm := range deployment.vms {
			if err := vm.writeSettings(); err != nil {
				return false, err
			}
			vm.signal(syscall.SIGHUP)
		}
		record.log("settings: grace-s is %d now", grace)
	}
	time.Sleep(8 * time.Second)
	var sessions sync.WaitGroup
	var mutex sync.Mutex
	var term time.Time
	began := make(chan struct{})
	for i := range 8 {
		sessions.Go(func() {
			client, err := linecl.Dial(stopped.front)
			if err != nil {
				record.log("consumer %d: %v", i, err)
				return
			}
			defer client.Close()
			if answer := client.Open("reading-list", "k-counter"); answer != "READY I -" {
				record.log("consumer %d: START answered %q", i, answer)
				return
			}
			<-began
			reply := client.Query("BEGIN READ")
			record.log("consumer %d: BEGIN READ answered %s, state %s", i, reply.Code, reply.State)
			time.Sleep(time.Duration(i) * 65 * time.Millisecond)
			for statement := 1; reply.State == "T" && statement <= 11; statement++ {
				sent := time.Now()
				reply = client.Query("READ item")
				mutex.Lock()
				after := sent.Sub(term)
				mutex.Unlock()
				record.log("consumer %d: %s READ item, sent %.3f s after SIGTERM, answered %s %s, state %s, after %v", i, client.LastID,
					after.Seconds(), reply.Code, reply.ErrorText, reply.State, time.Since(sent).Round(time.Millisecond))
				if reply.Code == linecl.Closed {
					if after > 3*time.Second {
						mutex.Lock()
						broken = true
						mutex.Unlock()
						record.say("LOST: consumer %d's statement %s, sent %.3f s after SIGTERM, was cut off", i, client.LastID, after.Seconds())
					}
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	mutex.Lock()
	term = time.Now()
	mutex.Unlock()
	close(began)
	time.Sleep(100 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	select {
	case <-stopped.exited:
		record.log("%s: exited %v after SIGTERM", stopped.name, time.Since(term).Round(time.Millisecond))
	case <-time.After(grace * time.Second):
		stopped.signal(syscall.SIGKILL)
	}
	sessions.Wait()
	for _, execution := range deployment.group.Executions() {
		record.log("server %s ran %s %s at %.3f s", execution.Server, execution.ID, execution.Text, execution.At.Sub(record.began).Seconds())
	}
	return broken, nil
}
