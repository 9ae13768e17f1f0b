package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderspool.example/spool/internal/fake/linecl"
)

// worker is a caller that writes its own item and reads all items.
type worker struct {
	cluster    *cluster
	history    *history
	random     *rand.Rand
	item       string
	items      []string
	team       string
	lastNumber int // number of the latest value
}

// run opens sessions one after the other until the context is done.
func (worker *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		vm := worker.cluster.vms[worker.random.IntN(len(worker.cluster.vms))]
		client, err := linecl.Dial(vm.callerAddress)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		route := []string{"primary", "session", "bounded"}[worker.random.IntN(3)]
		if client.Open(route, "key-"+worker.team) == "READY I -" {
			worker.session(ctx, vm, client, route)
		}
		client.Close()
	}
}

// session runs 1 to 20 reads, writes and transactions; it stops when the session is no longer idle (state I).
func (worker *worker) session(ctx context.Context, vm *vm, client *linecl.Client, route string) {
	newestOwn := 0 // number of the newest write acknowledged in this session
	worker.query(vm, client, "SET team "+worker.team)
	worker.query(vm, client, "PREPARE put WRITE q1")
	for range 1 + worker.random.IntN(20) {
		if ctx.Err() != nil {
			return
		}
		state := ""
		switch worker.random.IntN(6) {
		case 0, 1:
			state = worker.write(vm, client, &newestOwn)
		case 2:
			state = worker.transaction(vm, client, &newestOwn)
		default:
			state = worker.read(vm, client, route, newestOwn)
		}
		if state != "I" {
			return
		}
		time.Sleep(time.Duration(worker.random.IntN(30)) * time.Millisecond)
	}
	client.SendLine("BYE")
}

// idleEndMargin is the documented bound loss-slack-ms: a statement may be on its way while the proxy ends an idle session.
const idleEndMargin = 200 * time.Millisecond

// query runs a statement. A connection that ends without an answer after idleEndMargin is a violation, unless a fault
// other than SIGTERM hit the proxy.
func (worker *worker) query(vm *vm, client *linecl.Client, text string) linecl.Reply {
	sent := time.Now()
	reply := client.Query(text)
	elapsed := time.Since(sent)
	if reply.Code == linecl.Closed && elapsed > idleEndMargin && vm.undisturbedFor() > elapsed+time.Second {
		worker.history.addViolation(
			"%s closed the connection during %q without an answer and without a fault other than SIGTERM", vm.name, text)
	}
	return reply
}

func (worker *worker) nextValue() string {
	worker.lastNumber++
	value := fmt.Sprintf("%s-%d", worker.item, worker.lastNumber)
	worker.history.recordSent(value)
	return value
}

func (worker *worker) write(vm *vm, client *linecl.Client, newestOwn *int) string {
	value := worker.nextValue()
	text := "WRITE " + worker.item + " " + value
	if worker.random.IntN(2) == 0 {
		text = "EXEC put " + worker.item + " " + value
	}
	reply := worker.query(vm, client, text)
	worker.history.recordOutcome(worker.item, value, reply.Code)
	if reply.Code == linecl.Done {
		*newestOwn = valueNumber(value)
	}
	return reply.State
}

func (worker *worker) transaction(vm *vm, client *linecl.Client, newestOwn *int) string {
	value := worker.nextValue()
	reply := worker.query(vm, client, "BEGIN")
	for _, text := range []string{"READ " + worker.item, "WRITE " + worker.item + " " + value, "COMMIT"} {
		if reply.Code != linecl.Done {
			break
		}
		time.Sleep(time.Duration(worker.random.IntN(20)) * time.Millisecond)
		if text == "COMMIT" && worker.random.IntN(8) == 0 {
			reply = worker.query(vm, client, "ROLLBACK")
			worker.history.recordOutcome(worker.item, value, "ABORTED")
			return reply.State
		}
		reply = worker.query(vm, client, text)
	}
	worker.history.recordOutcome(worker.item, value, reply.Code)
	if reply.Code == linecl.Done {
		*newestOwn = valueNumber(value)
	}
	if reply.State == "E" {
		reply = worker.query(vm, client, "ROLLBACK")
	}
	return reply.State
}

// read records what it reads and the oldest value that the consistency of its route allows.
func (worker *worker) read(vm *vm, client *linecl.Client, route string, newestOwn int) string {
	item := worker.item
	if worker.random.IntN(2) == 0 {
		item = worker.items[worker.random.IntN(len(worker.items))]
	}
	before := time.Now()
	if route != "primary" {
		before = before.Add(-maxStaleness)
	}
	required := worker.history.newestAcknowledged(item, before)
	if route == "session" && item == worker.item && newestOwn > 0 {
		required = fmt.Sprintf("%s-%d", worker.item, max(newestOwn, valueNumber(required)))
	}
	reply := worker.query(vm, client, "READ "+item)
	if reply.Code == linecl.Done {
		worker.history.recordRead(readRecord{reader: worker.item, route: route, value: reply.Row, required: required})
	}
	return reply.State
}

// readContinuously sends reads of team brown, 5 ms after each answer; verifyExecutions checks the team's rate.
func readContinuously(ctx context.Context, cluster *cluster, random *rand.Rand) {
	for ctx.Err() == nil {
		client, err := linecl.Dial(cluster.vms[random.IntN(len(cluster.vms))].callerAddress)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		client.Open("session", "key-brown")
		for ctx.Err() == nil && client.Query("READ item0").State == "I" {
			time.Sleep(5 * time.Millisecond)
		}
		client.Close()
	}
}
