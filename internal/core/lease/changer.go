package lease

import "corianderspool.example/spool/pkg/spool"

// ReadRoster asks for the platform's roster.
type ReadRoster struct{}

// WriteRoster asks to record a roster by conditional update.
type WriteRoster struct {
	Expected spool.Version // zero if the roster must not exist
	Roster   Roster
}

// Note tells of a step of a roster change for the log.
type Note struct {
	Text   string
	Roster Roster
}

// Action is what a Changer asks for: ReadRoster, WriteRoster or Note.
type Action interface{ action() }

func (ReadRoster) action()  {}
func (WriteRoster) action() {}
func (Note) action()        {}

// Changer creates the roster and replaces members that are gone; any number of proxies may run one.
type Changer struct {
	config Config
}

// NewChanger returns a changer that knows nothing yet.
func NewChanger(options ...Option) *Changer { return &Changer{config: newConfig(options)} }

// SetMembers tells which VMs are alive; members that leave count as gone at once.
func (changer *Changer) SetMembers(members []spool.Member, now spool.Instant) {}

// Observe tells of the roster that the platform was read to hold; a zero Version says that none exists.
func (changer *Changer) Observe(roster Roster, now spool.Instant) []Action { return nil }

// Written tells the result of WriteRoster: the roster with its new version.
func (changer *Changer) Written(roster Roster, now spool.Instant) []Action { return nil }

// Failed tells that WriteRoster met another version or that its outcome, or that of ReadRoster, is unknown.
func (changer *Changer) Failed(now spool.Instant) []Action { return nil }

// Seen tells which roster version the witness at a VM obeys, from its heartbeats or pledge answers.
func (changer *Changer) Seen(vm spool.VM, version spool.Version, now spool.Instant) []Action {
	return nil
}

// Tick lets waits end; the caller ticks at least every 100 ms.
func (changer *Changer) Tick(now spool.Instant) []Action { return nil }
