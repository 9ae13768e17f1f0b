package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/linecl"
)

const (
	sessions     = 503 // of the site, over all machines: about 296 stand open, and 1.7 times as many users come at once
	restartDelay = 500 * time.Millisecond
)

// runMemory has the consumers of the site send writes of nearly 1 MiB, the longest message of the wire, while all machines but one
// are without power. The platform kills a process that exceeds the memory-mb of its settings, and starts it again.
func runMemory(record *record, binary string, trouble bool) (broken bool, err error) {
	deployment, err := newDeployment(record, binary, 7, []tenant{{Name: "counter", Keys: []string{"k-counter"}, Rate: 400, Burst: 400}})
	if err != nil {
		return false, err
	}
	defer deployment.stop()
	if err := deployment.startAll(); err != nil {
		return false, err
	}
	serving := deployment.vms
	if trouble {
		for _, vm := range deployment.vms[1:] {
			vm.signal(syscall.SIGKILL)
		}
		record.log("all machines but %s have lost power", deployment.vms[0].name)
		serving = deployment.vms[:1]
		time.Sleep(3 * time.Second)
	}
	done := make(chan struct{})
	kills := 0
	peak := map[string]int{}
	var watching sync.WaitGroup
	var mutex sync.Mutex
	for _, vm := range serving {
		watching.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				used := vm.memoryMB()
				mutex.Lock()
				peak[vm.name] = max(peak[vm.name], used)
				mutex.Unlock()
				if used <= deployment.memory {
					continue
				}
				record.say("%s: uses %d MB, more than memory-mb = %d, and is killed", vm.name, used, deployment.memory)
				vm.signal(syscall.SIGKILL)
				<-vm.exited
				mutex.Lock()
				kills++
				mutex.Unlock()
				time.Sleep(restartDelay)
				if vm.start() != nil {
					return
				}
			}
		})
	}
	clients := make([]*linecl.Client, sessions)
	for i := range clients {
		clients[i] = openSession(serving[i%len(serving)])
	}
	data := strings.Repeat("x", 1<<20-100)
	var writing sync.WaitGroup
	for i, client := range clients {
		writing.Go(func() {
			for attempt := 1; attempt <= 3; attempt++ { // a consumer tries again twice
				code := linecl.Closed
				if client != nil {
					code = client.Query(fmt.Sprintf("WRITE address%d %s", i, data)).Code
				}
				record.log("consumer %d, attempt %d: WRITE of %d bytes answered %s", i, attempt, len(data), code)
				if code == linecl.Done {
					return
				}
				time.Sleep(2 * time.Second)
				if code == linecl.Closed {
					client = openSession(serving[i%len(serving)])
				}
			}
		})
	}
	writing.Wait()
	close(done)
	watching.Wait()
	for _, vm := range serving {
		record.log("%s: used at most %d MB", vm.name, peak[vm.name])
	}
	record.say("processes were killed %d times for their memory", kills)
	return kills > 0, nil
}

// openSession returns an open session, or nil.
func openSession(vm *vm) *linecl.Client {
	client, err := linecl.Dial(vm.front)
	if err != nil {
		return nil
	}
	if client.Open("dispatch", "k-counter") != "READY I -" {
		client.Close()
		return nil
	}
	return client
}
