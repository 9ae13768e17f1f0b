package guard

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
)

// Bounds on a log entry: the value of a panic and its stack can be of any length.
const (
	maxPanicBytes = 512     // of the panic's value in the log
	maxStackBytes = 4 << 10 // of the stack in the log
)

// Run runs a function and reports whether it panicked; a panic is logged as event.PanicRecovered with the fields. State that
// the function shares with others must be consistent whenever it can panic.
func Run(logger *zap.Logger, run func(), fields ...zap.Field) (panicked bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		panicked = true
		event.Log(logger, event.PanicRecovered, append(fields,
			zap.String("Panic", truncate(fmt.Sprint(value), maxPanicBytes)),
			zap.String("Stack", truncate(string(debug.Stack()), maxStackBytes)))...)
	}()
	run()
	return false
}

func truncate(text string, size int) string { return text[:min(len(text), size)] }
