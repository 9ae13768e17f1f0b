// Command demo prepares the demo and runs its scenario; scripts/demo.sh starts the processes between both steps.
package main

import (
	"fmt"
	"os"

	"corianderspool.example/spool/internal/fake/demo"
	"github.com/integrii/flaggy"
)

func main() {
	dir := ""
	prepare := flaggy.NewSubcommand("prepare")
	prepare.Description = "Write certificates, settings and addresses into the directory"
	prepare.String(&dir, "d", "dir", "Directory of the demo")
	run := flaggy.NewSubcommand("run")
	run.Description = "Drive the running processes and print a report"
	run.String(&dir, "d", "dir", "Directory of the demo")
	flaggy.SetName("demo")
	flaggy.SetDescription("Drives a small fleet through failures and checks what the proxy promises.")
	flaggy.AttachSubcommand(prepare, 1)
	flaggy.AttachSubcommand(run, 1)
	flaggy.Parse()
	if dir == "" || !prepare.Used && !run.Used {
		flaggy.ShowHelpAndExit("a subcommand and --dir are required")
	}
	if err := execute(prepare.Used, dir); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func execute(prepare bool, dir string) error {
	if prepare {
		return demo.Prepare(dir)
	}
	return demo.Run(dir, os.Stdout)
}
