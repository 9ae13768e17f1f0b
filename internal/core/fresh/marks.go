package fresh

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	spacing  = 50 * time.Millisecond // between kept marks; a read asks for at most this much more than it needs
	maxMarks = 64                    // covers 3.2 s, more than the age of any route of today
)

// Watermark says that every commit acknowledged before an instant lies at or below a position.
type Watermark struct {
	Position spool.LogPosition
	SentAt   spool.Instant // when the request was sent that the primary answered with the position
}

// Watermarks keeps the dated positions of one group, oldest first.
type Watermarks struct {
	marks []Watermark
}

// Add adds what a primary answered to a request sent at an instant.
func (marks *Watermarks) Add(mark Watermark) {
	last := len(marks.marks) - 1
	if last < 0 {
		marks.marks = append(marks.marks, mark)
		return
	}
	newest := marks.marks[last]
	switch {
	case mark.SentAt <= newest.SentAt:
		return // an answer that was overtaken; the newer mark covers it
	case mark.Position.Less(newest.Position):
		return // the answer of a primary that was replaced since
	case mark.Position == newest.Position:
		marks.marks[last].SentAt = mark.SentAt
		return
	case last > 0 && mark.SentAt.Sub(marks.marks[last-1].SentAt) < spacing:
		marks.marks[last] = mark
		return
	}
	if len(marks.marks) == maxMarks {
		copy(marks.marks, marks.marks[1:])
		marks.marks = marks.marks[:maxMarks-1]
	}
	marks.marks = append(marks.marks, mark)
}

// Covering returns the lowest known position that every commit acknowledged before an instant lies at or below.
func (marks *Watermarks) Covering(since spool.Instant) (spool.LogPosition, bool) {
	for _, mark := range marks.marks {
		if mark.SentAt >= since {
			return mark.Position, true
		}
	}
	return spool.LogPosition{}, false
}

// Newest returns the newest mark, or the zero Mark.
func (marks *Watermarks) Newest() Watermark {
	if len(marks.marks) == 0 {
		return Watermark{}
	}
	return marks.marks[len(marks.marks)-1]
}
