package cmds

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"corianderspool.example/spool/internal/config"
)

const serveExamples = `  corianderspool serve --settings /etc/corianderspool/settings.json`

func (program *Program) serve() *command {
	command := newCommand("serve", "run the proxy; SIGTERM drains it", serveExamples)
	path := ""
	command.String(&path, "s", "settings", "file with the settings")
	command.run = func(ctx context.Context) Code { return program.runServe(ctx, path) }
	return command
}

func (program *Program) runServe(ctx context.Context, path string) Code {
	if path == "" {
		return program.fail(Invalid, eris.New("--settings is missing"))
	}
	settings, faults := config.Load(path)
	if len(faults) > 0 {
		return program.fail(Invalid, eris.Errorf("settings %s are invalid:\n%v", path, faults))
	}
	if program.server == nil {
		return program.fail(Failure, eris.New("this build has no server"))
	}
	logger, err := newLogger(settings.Log.Level)
	if err != nil {
		return program.fail(Invalid, err)
	}
	defer func() { _ = logger.Sync() }()
	if err := program.server.Run(ctx, settings, logger); err != nil {
		return program.fail(Failure, err)
	}
	return Success
}

// newLogger returns a logger that writes JSON lines to the error output.
func newLogger(levelName string) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(levelName)
	if err != nil {
		return nil, eris.Wrap(err, "read the log level")
	}
	settings := zap.NewProductionConfig()
	settings.Level = zap.NewAtomicLevelAt(level)
	settings.Sampling = nil
	settings.DisableStacktrace = true
	settings.EncoderConfig = encoderConfig()
	logger, err := settings.Build()
	if err != nil {
		return nil, eris.Wrap(err, "open the log")
	}
	return logger, nil
}

// encoderConfig returns the encoding of log lines, with the keys of the fields that every line has.
func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Message"
	config.CallerKey = "Caller"
	config.NameKey = "Logger"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return config
}
