package cmds

import (
	"context"
	"time"

	"corianderspool.example/spool/internal/audit"
)

const auditExamples = `  corianderspool audit --platform http://10.0.9.1:8080
  corianderspool audit --platform http://10.0.9.1:8080 --json`

func (program *Program) audit() *command {
	command := newCommand("audit", "list the trail of changes, oldest first", auditExamples)
	flags := &platformFlags{}
	flags.attach(command)
	command.run = func(ctx context.Context) Code { return program.runAudit(ctx, flags) }
	return command
}

func (program *Program) runAudit(ctx context.Context, flags *platformFlags) Code {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	platform, err := program.platform(flags)
	if err != nil {
		return program.fail(Invalid, err)
	}
	entries, err := audit.List(ctx, platform)
	if err != nil {
		return program.fail(Failure, err)
	}
	if flags.json {
		program.printJSON(entries)
		return Success
	}
	table := program.newTable()
	writeRow(table, "AT", "ACTOR", "ACTION", "OBJECT", "VERSION", "DETAIL")
	for _, entry := range entries {
		writeRow(table, entry.At.Format(time.RFC3339), entry.Actor, entry.Action, entry.Object, entry.Version, entry.Detail)
	}
	return program.flush(table)
}
