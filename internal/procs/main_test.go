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

// programDir is the folder of the built programs.
var programDir string

// startRequests passes process starts from spawn to serveStartRequests.
var startRequests = make(chan func())

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
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		modulePath+"/cmd/corianderspool", modulePath+"/cmd/objsrv", modulePath+"/cmd/regsrv")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, output)
		return 1
	}
	go serveStartRequests()
	return m.Run()
}

// serveStartRequests starts processes on a thread that lives as long as the tests, since Pdeathsig kills them when the
// thread that started them exits.
func serveStartRequests() {
	runtime.LockOSThread()
	for start := range startRequests {
		start()
	}
}

// spawn starts a command that the kernel kills when the tests exit, even by a panic.
func spawn(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	startRequests <- func() { result <- command.Start() }
	return <-result
}

// scaled returns the long value if SPOOL_LONG is 1, else the short one, and logs which.
func scaled[T time.Duration | int](t *testing.T, short, long T) T {
	if os.Getenv("SPOOL_LONG") == "1" {
		t.Logf("long form: %v", long)
		return long
	}
	t.Logf("short form: %v; SPOOL_LONG=1 makes it %v", short, long)
	return short
}
