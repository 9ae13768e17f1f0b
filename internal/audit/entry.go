package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// nameTimeLayout has a fixed width, so that entry names sort by time.
const nameTimeLayout = "20060102T150405.000000000Z"

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-"

// Entry is one entry of the audit log.
type Entry struct {
	At      time.Time
	Actor   string // operator or VM
	Action  string
	Object  string // kind and name such as Manifest/kyushu
	Version spool.Version
	Detail  string
}

// Actions of entries.
const (
	ActionPush     = "Push"     // a manifest was written
	ActionWithdraw = "Withdraw" // a key was withdrawn
	ActionAccept   = "Accept"   // proxies accepted a manifest
	ActionReject   = "Reject"   // proxies rejected a manifest
	ActionEndKeys  = "EndKeys"  // proxies ended the sessions of keys that were withdrawn, removed or replaced
	ActionPromote  = "Promote"  // a term was opened
	ActionQuorum   = "Quorum"   // the witnesses of leases changed
)

// object returns the entry as a new object with the given name.
func (entry Entry) object(name string) (spool.Object, error) {
	body, err := json.Marshal(entry)
	if err != nil {
		return spool.Object{}, eris.Wrap(err, "encode audit entry")
	}
	return spool.Object{Kind: spool.KindAudit, Name: name, Body: body}, nil
}

// uniqueName returns a name for the entry; sequence distinguishes entries of one actor at the same time.
func (entry Entry) uniqueName(sequence uint64) string {
	return fmt.Sprintf("%s-%s-%d", entry.At.UTC().Format(nameTimeLayout), sanitizeName(entry.Actor), sequence)
}

// sanitizeName replaces characters that are not valid in object names by underscores.
func sanitizeName(text string) string {
	return strings.Map(func(letter rune) rune {
		if strings.ContainsRune(nameCharacters, letter) {
			return letter
		}
		return '_'
	}, text)
}

// List returns the entries of the audit log, sorted by time according to the clocks of the actors.
func List(ctx context.Context, platform spool.Platform) ([]Entry, error) {
	objects, _, err := platform.List(ctx, spool.KindAudit)
	if err != nil {
		return nil, eris.Wrap(err, "list audit entries")
	}
	slices.SortFunc(objects, func(left, right spool.Object) int { return cmp.Compare(left.Name, right.Name) })
	entries := make([]Entry, 0, len(objects))
	for _, object := range objects {
		var entry Entry
		if err := json.Unmarshal(object.Body, &entry); err != nil {
			return nil, eris.Wrapf(err, "decode audit entry %s", object.Name)
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(left, right Entry) int { return left.At.Compare(right.At) })
	return entries, nil
}
