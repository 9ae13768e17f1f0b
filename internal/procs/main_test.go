package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"
)

const modulePath = "corianderspool.example/spool"

// programs is the folder of the built programs.
var programs string

// starts carries commands to the goroutine that starts them; see spawn.
var starts = make(chan func())

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		modulePath+"/cmd/corianderspool", modulePath+"/cmd/objsrv", modulePath+"/cmd/regsrv")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, output)
		return 1
	}
	go startAll()
	return m.Run()
}

// startAll starts processes on a thread that lives as long as the tests, since the kernel kills them with that thread.
func startAll() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

// spawn starts a command that ends with the tests even if they panic.
func spawn(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	starts <- func() { result <- command.Start() }
	return <-result
}

// scaled returns the long form of a duration or size if SPOOL_LONG is set, else the short one, and says which.
func scaled[T time.Duration | int](t *testing.T, short, long T) T {
	if os.Getenv("SPOOL_LONG") == "1" {
		t.Logf("long form: %v", long)
		return long
	}
	t.Logf("short form: %v; SPOOL_LONG=1 makes it %v", short, long)
	return short
}
