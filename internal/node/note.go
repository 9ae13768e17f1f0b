package node

import (
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/event"
)

var noteEvents = map[core.Topic]event.Number{
	core.TopicKeeperTaken: event.KeeperTaken,
	core.TopicKeeperLost:  event.KeeperLost,
	core.TopicOwnerTaken:  event.OwnerTaken,
	core.TopicOwnerLost:   event.OwnerLost,
	core.TopicTerm:        event.TermPromoting,
	core.TopicTermOpened:  event.TermOpened,
	core.TopicRoster:      event.RosterChanged,
	core.TopicAccepted:    event.ConfigAccepted,
	core.TopicRejected:    event.ConfigRejected,
	core.TopicWithdrawn:   event.KeyWithdrawn,
}

// note writes a decision to the log.
func (node *Node) note(note core.Note) {
	fields := []zap.Field{}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	add("Group", string(note.Group))
	add("Team", string(note.Team))
	add("Server", string(note.Server))
	add("Partner", string(note.Partner))
	add("Text", note.Text)
	if note.Term > 0 {
		fields = append(fields, zap.Uint64("Term", uint64(note.Term)))
	}
	if note.Version > 0 {
		fields = append(fields, zap.Uint64("Version", uint64(note.Version)))
	}
	event.Log(node.logger, noteEvents[note.Topic], fields...)
}

// SlotWaited tells how long a request waited for a slot.
func (node *Node) SlotWaited(time.Duration) {}

// Read tells of an answered read.
func (node *Node) Read(bool) {}
