package cmds

import (
	"context"
	"errors"
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"corianderspool.example/spool/internal/event"
)

const fleetExamples = `  export CORIANDERSPOOL_SETTINGS=/etc/corianderspool/settings.json
  corianderspool fleet
  corianderspool fleet --level debug`

func (program *Program) fleetCommand() *command {
	command := newCommand("fleet", "run a proxy with the settings that the platform lays down", fleetExamples)
	levelName := "info"
	command.String(&levelName, "l", "level", "lowest level that is logged: debug, info, warn or error")
	command.run = func(ctx context.Context) Code { return program.runFleet(ctx, levelName) }
	return command
}

func (program *Program) runFleet(ctx context.Context, levelName string) Code {
	if program.fleet == nil {
		return program.fail(Failure, eris.New("this build has no platform"))
	}
	level, err := zapcore.ParseLevel(levelName)
	if err != nil {
		return program.fail(Invalid, eris.Wrap(err, "read the log level"))
	}
	output := event.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), output, level))
	err = program.fleet(ctx, logger)
	var invalid InvalidError
	switch {
	case errors.As(err, &invalid):
		return program.fail(Invalid, invalid.Cause)
	case err != nil:
		return program.fail(Failure, err)
	}
	return Success
}

// InvalidError is returned by a FleetFunc that did not start a proxy because settings are missing or invalid.
type InvalidError struct{ Cause error }

// Error returns the message of the cause.
func (invalidError InvalidError) Error() string { return invalidError.Cause.Error() }

// Unwrap returns the cause.
func (invalidError InvalidError) Unwrap() error { return invalidError.Cause }
