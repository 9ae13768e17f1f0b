package cmds

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

const (
	withdrawAttempts = 20
	withdrawDelay    = 100 * time.Millisecond
	withdrawExamples = `  corianderspool withdraw kyushu.counter-1 --platform http://10.0.9.1:8080 --token-file token`
)

func (program *Program) withdraw() *command {
	command := newCommand("withdraw", "make a caller key stop working, also for connected callers", withdrawExamples)
	flags := &updateFlags{}
	flags.attach(command, program.actor)
	key := ""
	command.AddPositionalValue(&key, "KEY", 1, true, "name of the key")
	command.run = func(ctx context.Context) Code { return program.runWithdraw(ctx, flags, key) }
	return command
}

func (program *Program) runWithdraw(ctx context.Context, flags *updateFlags, key string) Code {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	partner, _, found := strings.Cut(key, ".")
	if !found {
		return program.fail(Invalid, eris.Errorf("key %q does not begin with the name of a partner", key))
	}
	updater, err := program.newUpdater(flags, spool.Partner(partner))
	if err != nil {
		return program.fail(Invalid, err)
	}
	result := updater.withdraw(ctx, key)
	for range withdrawAttempts - 1 {
		if result.Outcome != outcomeConflict || clock.Wait(ctx, clock.Real{}, withdrawDelay) != nil {
			break
		}
		result = updater.withdraw(ctx, key)
	}
	return program.report(result, flags.json)
}

// withdraw makes one attempt to withdraw a key; after a conflict the caller may retry.
func (updater *updater) withdraw(ctx context.Context, key string) updateResult {
	current, err := updater.read(ctx)
	if err != nil {
		return failureResult(updater.partner, err)
	}
	result := updateResult{Outcome: outcomeInvalid, Partner: updater.partner, Version: current.Version}
	if current.Version == 0 {
		result.Reason = "the partner has no manifest"
		return result
	}
	manifest, faults := policy.ParseManifest(updater.partner, current.Body)
	if len(faults) > 0 {
		result.Reason = "the manifest in the platform is invalid; push a valid one without the key"
		result.Faults = faults
		return result
	}
	i := slices.IndexFunc(manifest.Keys, func(spec spool.KeySpec) bool { return spec.Name == key })
	if i < 0 {
		result.Reason = "the manifest has no key " + key
		return result
	}
	if manifest.Keys[i].Withdrawn {
		result.Outcome = outcomeUnchanged
		return result
	}
	manifest.Keys[i].Withdrawn = true
	body, err := json.Marshal(manifest)
	if err != nil {
		return failureResult(updater.partner, err)
	}
	return updater.write(ctx, current, body, audit.ActionWithdraw)
}
