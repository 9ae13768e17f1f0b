package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a consumer's session, which is opened again after it ends.
type client struct {
	name   string
	front  string
	group  *group
	record *record
	pause  time.Duration
	done   *atomic.Int64 // statements that succeeded
}

func (client *client) run(stop <-chan struct{}) {
	random := rand.New(rand.NewSource(int64(len(client.name)) + time.Now().UnixNano()))
	for number := 0; ; {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", client.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		number = client.session(conn, number, random, stop)
		_ = conn.Close()
		time.Sleep(50 * time.Millisecond)
	}
}

// session sends single writes until the session breaks.
func (client *client) session(conn net.Conn, number int, random *rand.Rand, stop <-chan struct{}) int {
	reader := bufio.NewReader(conn)
	line := func(wait time.Duration) (string, error) {
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		text, err := reader.ReadString('\n')
		return strings.TrimRight(text, "\r\n"), err
	}
	if _, err := fmt.Fprintf(conn, "START records key-1\r\n"); err != nil {
		return number
	}
	if answer, err := line(2 * time.Second); err != nil || !strings.HasPrefix(answer, "READY") {
		return number
	}
	for {
		select {
		case <-stop:
			return number
		case <-time.After(client.pause/2 + time.Duration(random.Int63n(int64(client.pause)))):
		}
		number++
		id := fmt.Sprintf("%s-%d", client.name, number)
		client.record.add("sent", client.front, id, "WRITE")
		if _, err := fmt.Fprintf(conn, "QUERY %s WRITE i%d %s\r\n", id, random.Intn(2000), id); err != nil {
			return number
		}
		verdict := ""
		for {
			answer, err := line(6 * time.Second)
			if err != nil {
				client.record.add("broken", id)
				return number
			}
			if strings.HasPrefix(answer, "READY") {
				break
			}
			verdict = answer
		}
		if strings.HasPrefix(verdict, "DONE "+id+".") {
			client.group.ack(id)
			client.done.Add(1)
		}
		client.record.add("answered", id, verdict)
	}
}
