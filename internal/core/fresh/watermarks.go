package fresh

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	minSpacing    = 50 * time.Millisecond // between kept watermarks; a read requires data at most this much newer than necessary
	maxWatermarks = 64                    // covers 3.2 s, more than the maximum age of any current route
)

// Watermark is a log position such that every commit acknowledged before SentAt is at or below it.
type Watermark struct {
	Position spool.LogPosition
	SentAt   spool.Instant // when the request was sent to which the primary answered with the position
}

// Watermarks holds the watermarks of one group, oldest first.
type Watermarks struct {
	entries []Watermark
}

// Add adds the watermark from a primary's answer.
func (watermarks *Watermarks) Add(watermark Watermark) {
	last := len(watermarks.entries) - 1
	if last < 0 {
		watermarks.entries = append(watermarks.entries, watermark)
		return
	}
	newest := watermarks.entries[last]
	switch {
	case watermark.SentAt <= newest.SentAt:
		return // a reordered answer; the newer watermark covers it
	case watermark.Position.Less(newest.Position):
		return // the answer of a primary that has been replaced
	case watermark.Position == newest.Position:
		watermarks.entries[last].SentAt = watermark.SentAt
		return
	case last > 0 && watermark.SentAt.Sub(watermarks.entries[last-1].SentAt) < minSpacing:
		watermarks.entries[last] = watermark
		return
	}
	if len(watermarks.entries) == maxWatermarks {
		copy(watermarks.entries, watermarks.entries[1:])
		watermarks.entries = watermarks.entries[:maxWatermarks-1]
	}
	watermarks.entries = append(watermarks.entries, watermark)
}

// Covering returns the lowest known position at or above every commit acknowledged before an instant.
func (watermarks *Watermarks) Covering(since spool.Instant) (spool.LogPosition, bool) {
	for _, watermark := range watermarks.entries {
		if watermark.SentAt >= since {
			return watermark.Position, true
		}
	}
	return spool.LogPosition{}, false
}

// Newest returns the newest watermark, or the zero Watermark.
func (watermarks *Watermarks) Newest() Watermark {
	if len(watermarks.entries) == 0 {
		return Watermark{}
	}
	return watermarks.entries[len(watermarks.entries)-1]
}
