package back

// prepared lists the statements that a connection has prepared on its server, with the time of their last use.
type prepared struct {
	limit int
	clock uint64
	used  map[string]uint64
	stale []string // to be closed before the next cycle
}

func newPrepared(limit int) prepared {
	return prepared{limit: limit, used: map[string]uint64{}}
}

func (prepared *prepared) has(name string) bool {
	if _, ok := prepared.used[name]; !ok {
		return false
	}
	prepared.add(name)
	return true
}

func (prepared *prepared) add(name string) {
	prepared.clock++
	prepared.used[name] = prepared.clock
}

func (prepared *prepared) remove(name string) {
	delete(prepared.used, name)
}

// expire has a statement that its server reported as unusable prepared anew.
func (prepared *prepared) expire(name string) {
	if _, ok := prepared.used[name]; ok {
		prepared.stale = append(prepared.stale, name)
	}
}

func (prepared *prepared) clear() {
	clear(prepared.used)
	prepared.stale = nil
}

// oldest returns the statement that was not used for longest, since before the given time.
func (prepared *prepared) oldest(before uint64) (name string, found bool) {
	for candidate, used := range prepared.used {
		if used <= before {
			name, before, found = candidate, used, true
		}
	}
	return name, found
}
