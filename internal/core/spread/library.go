package spread

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// maxPrevious is the number of bodies that are kept beside the newest one.
const maxPrevious = 2

// Copy is a version with its body.
type Copy struct {
	Version uint64        // by which versions are ordered
	Stored  spool.Version // of the object in the store
	Hash    uint64        // of Stored and Body
	Body    []byte
}

// Library keeps the newest version and few previous ones, which are the dictionaries for those who hold them.
type Library struct {
	newest   Copy
	addedAt  spool.Instant
	previous []previousCopy // oldest first
}

type previousCopy struct {
	Copy
	lasted time.Duration // as the newest one
}

// Newest returns the newest version; its number is zero if there is none.
func (library *Library) Newest() Copy { return library.newest }

// Add adds a version and reports whether it is newer than the others. Of the previous versions it keeps the latest one, and
// the one that was the newest for the longest time: when versions follow each other fast, most other proxies hold that one.
func (library *Library) Add(added Copy, now spool.Instant) bool {
	if added.Version <= library.newest.Version {
		return false
	}
	if library.newest.Version > 0 {
		library.previous = append(library.previous, previousCopy{library.newest, now.Sub(library.addedAt)})
	}
	for len(library.previous) > maxPrevious {
		shortest := 0
		for i, candidate := range library.previous[:len(library.previous)-1] {
			if candidate.lasted < library.previous[shortest].lasted {
				shortest = i
			}
		}
		library.previous = append(library.previous[:shortest], library.previous[shortest+1:]...)
	}
	library.newest, library.addedAt = added, now
	return true
}

// Find returns the copy with a version and a hash.
func (library *Library) Find(version, hash uint64) (Copy, bool) {
	if version == 0 {
		return Copy{}, false
	}
	if library.newest.Version == version && library.newest.Hash == hash {
		return library.newest, true
	}
	for _, candidate := range library.previous {
		if candidate.Version == version && candidate.Hash == hash {
			return candidate.Copy, true
		}
	}
	return Copy{}, false
}

// Remove removes the newest version if it has the given number, since its body proved malformed.
func (library *Library) Remove(version uint64) {
	if library.newest.Version != version {
		return
	}
	library.newest = Copy{}
	if last := len(library.previous) - 1; last >= 0 {
		library.newest, library.previous = library.previous[last].Copy, library.previous[:last]
	}
}
