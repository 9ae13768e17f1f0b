package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(record *record, trouble bool) (int, error){
	"switchover": switchover,
	"drain":      drain,
	"failover":   failover,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return failed
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.close()
	code, err := play(record, trouble)
	if err != nil {
		record.conclude("could not run: %v", err)
		return failed
	}
	return code
}
