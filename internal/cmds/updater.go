package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

// updateFlags are the flags of commands that change a manifest.
type updateFlags struct {
	platformFlags
	actor string
}

func (flags *updateFlags) attach(command *command, actor string) {
	flags.platformFlags.attach(command)
	flags.actor = actor
	command.String(&flags.actor, "a", "actor", "name for the audit trail")
}

// updater changes the manifest of one partner.
type updater struct {
	platform spool.Platform
	writer   *audit.Writer
	partner  spool.Partner
}

func (program *Program) newUpdater(flags *updateFlags, partner spool.Partner) (*updater, error) {
	platform, err := program.platform(&flags.platformFlags)
	if err != nil {
		return nil, err
	}
	if flags.actor == "" {
		return nil, eris.New("--actor is missing and the environment names no user")
	}
	return &updater{
		platform: platform,
		writer:   audit.NewWriter(platform, flags.actor),
		partner:  partner,
	}, nil
}

// read returns the stored manifest, with version zero if there is none.
func (updater *updater) read(ctx context.Context) (spool.Object, error) {
	object, err := updater.platform.Get(ctx, spool.KindManifest, string(updater.partner))
	if errors.Is(err, spool.ErrNotFound) {
		return spool.Object{Kind: spool.KindManifest, Name: string(updater.partner)}, nil
	}
	if err != nil {
		return spool.Object{}, eris.Wrap(err, "read the manifest from the platform")
	}
	return object, nil
}

// write replaces the body of the manifest that was read, unless it changed since, and adds an entry to the audit log.
func (updater *updater) write(ctx context.Context, read spool.Object, body []byte, action string) updateResult {
	object := read
	object.Body = json.RawMessage(body)
	stored, err := change.Put(ctx, updater.platform, clock.Real{}, object)
	if err != nil {
		return failureResult(updater.partner, err)
	}
	result := updateResult{Outcome: outcomeAccepted, Partner: updater.partner, Version: stored.Version}
	err = updater.writer.Write(ctx, audit.Entry{
		Action:  action,
		Object:  spool.KindManifest + "/" + string(updater.partner),
		Version: stored.Version,
		Detail:  describeChange(read, stored),
	})
	if err != nil {
		result.Reason = fmt.Sprintf("the change is in the platform, but its audit entry was not written: %v", err)
	}
	return result
}

// describeChange lists the differences between two versions of a manifest.
func describeChange(before, after spool.Object) string {
	store := policy.NewStore()
	if before.Version > 0 {
		store.Apply(before)
	}
	difference, _ := store.Apply(after)
	var parts []string
	add := func(label string, count int, names any) {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %v", label, names))
		}
	}
	add("withdrawn", len(difference.Withdrawn), difference.Withdrawn)
	add("replaced keys", len(difference.Replaced), difference.Replaced)
	add("teams", len(difference.Teams), difference.Teams)
	add("groups", len(difference.Groups), difference.Groups)
	add("servers", len(difference.Servers), difference.Servers)
	add("routes", len(difference.Routes), difference.Routes)
	return strings.Join(parts, ", ")
}
