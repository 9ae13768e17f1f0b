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

// idTimeLayout has a fixed width, so that identifiers sort by time.
const idTimeLayout = "20060102T150405.000000000Z"

const nameLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-"

// Entry is one line of the trail.
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
	ActionAccept   = "Accept"   // proxies put a manifest in force
	ActionReject   = "Reject"   // proxies refused a manifest
	ActionEndKeys  = "EndKeys"  // proxies ended keys that were withdrawn, removed or replaced
	ActionPromote  = "Promote"  // a term was opened
	ActionQuorum   = "Quorum"   // the witnesses of leases changed
)

// object returns the entry as an object of that name that does not exist yet.
func (entry Entry) object(name string) (spool.Object, error) {
	body, err := json.Marshal(entry)
	if err != nil {
		return spool.Object{}, eris.Wrap(err, "encoding audit entry")
	}
	return spool.Object{Kind: spool.KindAudit, Name: name, Body: body}, nil
}

// uniqueName returns a name for the entry; number tells entries of one actor and instant apart.
func (entry Entry) uniqueName(number uint64) string {
	return fmt.Sprintf("%s-%s-%d", entry.At.UTC().Format(idTimeLayout), nameSafe(entry.Actor), number)
}

// nameSafe replaces what does not belong into an object's name.
func nameSafe(text string) string {
	return strings.Map(func(letter rune) rune {
		if strings.ContainsRune(nameLetters, letter) {
			return letter
		}
		return '_'
	}, text)
}

// List returns the trail in the order of time, as the clocks of the actors show it.
func List(ctx context.Context, platform spool.Platform) ([]Entry, error) {
	objects, _, err := platform.List(ctx, spool.KindAudit)
	if err != nil {
		return nil, eris.Wrap(err, "listing audit entries")
	}
	slices.SortFunc(objects, func(left, right spool.Object) int { return cmp.Compare(left.Name, right.Name) })
	entries := make([]Entry, 0, len(objects))
	for _, object := range objects {
		var entry Entry
		if err := json.Unmarshal(object.Body, &entry); err != nil {
			return nil, eris.Wrapf(err, "decoding audit entry %s", object.Name)
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(left, right Entry) int { return left.At.Compare(right.At) })
	return entries, nil
}
