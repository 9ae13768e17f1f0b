package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/pkg/spool"
)

const pushExamples = `  corianderspool push manifest.json --platform http://10.0.9.1:8080 --token-file token
  corianderspool push manifest.json --platform http://10.0.9.1:8080 --base 41 --json`

// pushFlags are the flags and arguments of push.
type pushFlags struct {
	updateFlags
	file        string
	base        string // version that must be stored; empty for any
	restoreKeys bool
}

func (program *Program) push() *command {
	command := newCommand("push", "replace a partner's manifest by conditional update", pushExamples)
	flags := &pushFlags{}
	flags.attach(command, program.actor)
	command.AddPositionalValue(&flags.file, "MANIFEST", 1, true, "file with the manifest")
	command.String(&flags.base, "b", "base", "version that must be in the platform; 0 for none")
	command.Bool(&flags.restoreKeys, "r", "restore-keys", "allow the manifest to bring back withdrawn keys")
	command.run = func(ctx context.Context) Code { return program.runPush(ctx, flags) }
	return command
}

func (program *Program) runPush(ctx context.Context, flags *pushFlags) Code {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	base, err := parseBase(flags.base)
	if err != nil {
		return program.fail(Invalid, err)
	}
	manifest, faults := loadManifest(flags.file)
	if len(faults) > 0 {
		return program.report(updateResult{Outcome: outcomeInvalid, Faults: faults}, flags.json)
	}
	updater, err := program.newUpdater(&flags.updateFlags, manifest.Partner)
	if err != nil {
		return program.fail(Invalid, err)
	}
	result := updater.push(ctx, manifest, base, flags.restoreKeys)
	return program.report(result, flags.json)
}

// parseBase parses a version; it returns nil for an empty text.
func parseBase(text string) (*spool.Version, error) {
	if text == "" {
		return nil, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, eris.Wrap(err, "--base is not a version")
	}
	version := spool.Version(number)
	return &version, nil
}

func (updater *updater) push(ctx context.Context, manifest manifestFile, base *spool.Version, restore bool) updateResult {
	current, err := updater.read(ctx)
	if err != nil {
		return failureResult(updater.partner, err)
	}
	if base != nil && *base != current.Version {
		return failureResult(updater.partner, &change.ConflictError{StoredVersion: current.Version})
	}
	if current.Version > 0 && change.EqualJSON(current.Body, manifest.body) {
		return updateResult{Outcome: outcomeUnchanged, Partner: updater.partner, Version: current.Version}
	}
	restored := restoredKeys(current, manifest.Manifest)
	if len(restored) > 0 && !restore {
		reason := fmt.Sprintf("the manifest brings back withdrawn keys: %s", strings.Join(restored, ", "))
		return updateResult{Outcome: outcomeConflict, Partner: updater.partner, Version: current.Version, Reason: reason}
	}
	return updater.write(ctx, current, manifest.body, audit.ActionPush)
}

// restoredKeys returns the names of the keys that are withdrawn in the stored manifest and that the new manifest would
// make valid again with the same secret.
func restoredKeys(stored spool.Object, manifest spool.Manifest) []string {
	var before spool.Manifest
	if json.Unmarshal(stored.Body, &before) != nil {
		return nil
	}
	withdrawn := map[string]string{}
	for _, key := range before.Keys {
		if key.Withdrawn {
			withdrawn[key.Name] = key.Verifier
		}
	}
	var restored []string
	for _, key := range manifest.Keys {
		if verifier, found := withdrawn[key.Name]; found && !key.Withdrawn && verifier == key.Verifier {
			restored = append(restored, key.Name)
		}
	}
	return restored
}
