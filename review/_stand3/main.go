// Command _stand3 plays the cases of the third review: it starts the proxies of a small deployment as processes, and stands in for
// the platform, the servers and the consumers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(record *record, binary string, trouble bool) (broken bool, err error){
	"grace":     runGrace,
	"lateorder": runLateOrder,
	"quota":     runQuota,
	"memory":    runMemory,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _stand3 CASE PROXY-BINARY CASE-FOLDER")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](record, binary, trouble)
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.say("rule broken")
		return exitBroken
	}
	record.say("rule held")
	return exitHeld
}
