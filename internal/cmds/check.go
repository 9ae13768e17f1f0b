package cmds

import (
	"context"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/pkg/spool"
)

const checkExamples = `  corianderspool check --settings settings.json
  corianderspool check --manifest manifest.json --json
  corianderspool check --settings settings.json --manifest a.json --manifest b.json`

// fileFault is a fault and the checked file that has it.
type fileFault struct {
	File string
	spool.Fault
}

func (program *Program) check() *command {
	command := newCommand("check", "validate settings and manifests and print every fault", checkExamples)
	var settings, manifests []string
	asJSON := false
	command.StringSlice(&settings, "s", "settings", "file with settings; may be repeated")
	command.StringSlice(&manifests, "m", "manifest", "file with a manifest; may be repeated")
	command.Bool(&asJSON, "j", "json", "print the faults as JSON")
	command.run = func(context.Context) Code { return program.runCheck(settings, manifests, asJSON) }
	return command
}

func (program *Program) runCheck(settings, manifests []string, asJSON bool) Code {
	if len(settings)+len(manifests) == 0 {
		return program.fail(Invalid, eris.New("give --settings, --manifest or both"))
	}
	found := []fileFault{}
	for _, path := range settings {
		_, faults := config.Load(path)
		found = appendFaults(found, path, faults)
	}
	for _, path := range manifests {
		_, faults := loadManifest(path)
		found = appendFaults(found, path, faults)
	}
	program.printFaults(found, asJSON)
	if len(found) > 0 {
		return Invalid
	}
	return Success
}

func (program *Program) printFaults(found []fileFault, asJSON bool) {
	if asJSON {
		program.printJSON(found)
		return
	}
	for _, fault := range found {
		program.printf("%s: %s\n", fault.File, fault.Fault)
	}
	if len(found) == 0 {
		program.printf("no faults\n")
	}
}

func appendFaults(found []fileFault, path string, faults spool.Faults) []fileFault {
	for _, fault := range faults {
		found = append(found, fileFault{File: path, Fault: fault})
	}
	return found
}
