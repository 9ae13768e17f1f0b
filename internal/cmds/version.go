package cmds

import (
	"context"
	"runtime"
)

// Version is the version of the program.
const Version = "0.1.0"

const versionExamples = `  corianderspool version --json`

func (program *Program) version() *command {
	command := newCommand("version", "print the version of the program", versionExamples)
	asJSON := false
	command.Bool(&asJSON, "j", "json", "print the version as JSON")
	command.run = func(context.Context) Code {
		if asJSON {
			program.printJSON(struct{ Version, Go string }{Version, runtime.Version()})
			return Success
		}
		program.printf("%s %s (%s)\n", programName, Version, runtime.Version())
		return Success
	}
	return command
}
