package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"corianderspool.example/spool/internal/fake/linecl"
	"corianderspool.example/spool/pkg/spool"
)

const (
	lateBy      = 2500 * time.Millisecond // from the call without an answer until it is carried out: 2 to 12 s on the pages
	powerLoss   = 1500 * time.Millisecond // of all machines
	promoteTime = 600 * time.Millisecond  // of the site's databases
)

// writer writes through one proxy and remembers which writes were acknowledged.
type writer struct {
	deployment *deployment
	vm         *vm
	name       string
	acked      map[string]time.Time // by value
	mutex      sync.Mutex
}

func (writer *writer) run(stop <-chan struct{}) {
	var client *linecl.Client
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if client == nil {
			var err error
			if client, err = linecl.Dial(writer.vm.front); err != nil {
				client = nil
				continue
			}
			if answer := client.Open("dispatch", "k-counter"); answer != "READY I -" {
				client.Close()
				client = nil
				continue
			}
		}
		value := fmt.Sprintf("%s-%d", writer.name, count)
		reply := client.Query("WRITE address " + value)
		writer.deployment.log("consumer %s at %s: %s WRITE address %s answered %s %s", writer.name, writer.vm.name, client.LastID, value,
			reply.Code, reply.ErrorText)
		switch reply.Code {
		case linecl.Done:
			writer.mutex.Lock()
			writer.acked[value] = time.Now()
			writer.mutex.Unlock()
		case linecl.Closed:
			client.Close()
			client = nil
		}
	}
}

// runLateOrder releases the primary. The platform gives no answer to the order that follows and carries it out 2.5 s later. Right
// after the order all machines lose power for 1.5 s, and the server that was chosen receives nothing for a while.
func runLateOrder(record *record, binary string, trouble bool) (broken bool, err error) {
	deployment, err := newDeployment(record, binary, 7, []tenant{{Name: "counter", Keys: []string{"k-counter"}, Rate: 400, Burst: 400}})
	if err != nil {
		return false, err
	}
	defer deployment.stop()
	ordered := make(chan spool.Server, 1)
	led := make(chan time.Time, 8)
	deployment.order = func(service, id string) bool {
		token := deployment.store.FencingToken(service)
		deployment.log("platform: POST /promote service=%s id=%s, epoch number %d", service, id, token)
		carryOut := func(delay time.Duration) {
			time.Sleep(delay)
			if newest := deployment.store.FencingToken(service); newest > token {
				deployment.log("platform: the order of epoch number %d is refused, since %d was seen", token, newest)
				return
			}
			deployment.log("platform: the order of epoch number %d is carried out", token)
			time.Sleep(promoteTime)
			if deployment.group.Primary() == spool.Server(id) {
				return
			}
			deployment.group.Promote(spool.Server(id))
			led <- time.Now()
			deployment.log("platform: %s leads", id)
			deployment.registerServers()
		}
		select {
		case ordered <- spool.Server(id):
			if trouble {
				go carryOut(lateBy)
				<-deployment.ended // no answer
				return false
			}
		default:
		}
		go carryOut(0)
		return true
	}
	if err := deployment.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var writing sync.WaitGroup
	var writers []*writer
	for i, vm := range deployment.vms {
		writer := &writer{deployment: deployment, vm: vm, name: fmt.Sprintf("c%d", i), acked: map[string]time.Time{}}
		writers = append(writers, writer)
		writing.Go(func() { writer.run(stop) })
	}
	time.Sleep(time.Second)
	replacement, err := deployment.group.Add("i-a2")
	if err != nil {
		return false, err
	}
	replacement.MaxConnections, replacement.Slots, replacement.WorkTime = 21, 3, 8*time.Millisecond
	deployment.registerServer(replacement)
	time.Sleep(2 * time.Second)
	deployment.mutex.Lock()
	deployment.draining["i-a"] = true
	deployment.mutex.Unlock()
	deployment.registerServers()
	record.log("store: the report that the primary i-a is draining is acknowledged")
	var chosen spool.Server
	select {
	case chosen = <-ordered:
	case <-time.After(6 * time.Second):
		return false, fmt.Errorf("no order came")
	}
	if trouble {
		time.Sleep(150 * time.Millisecond)
		for _, vm := range deployment.vms {
			vm.signal(syscall.SIGKILL)
		}
		record.log("all machines have lost power")
		deployment.group.Server(chosen).StopReceiving()
		record.log("server %s receives nothing", chosen)
		time.Sleep(powerLoss)
		for _, vm := range deployment.vms {
			<-vm.exited
			if err := vm.start(); err != nil {
				return false, err
			}
		}
	}
	var promoted time.Time
	select {
	case promoted = <-led:
	case <-time.After(20 * time.Second):
		close(stop)
		writing.Wait()
		return false, fmt.Errorf("no promotion took effect")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	writing.Wait()
	kept := deployment.group.AllWrittenValues()
	total, lost := 0, 0
	for _, writer := range writers {
		for value, at := range writer.acked {
			total++
			if !slices.Contains(kept, value) {
				lost++
				record.log("LOST: %s was acknowledged at %.3f s, %.3f s before %s led, and is not in its log", value,
					at.Sub(record.began).Seconds(), promoted.Sub(at).Seconds(), chosen)
			}
		}
	}
	record.say("%d of %d acknowledged writes are not in the log of the server that was promoted", lost, total)
	return lost > 0, nil
}
