package back

// preparedStatements tracks the statements that a connection has prepared on its server and the order of their use.
type preparedStatements struct {
	limit    int
	useCount uint64
	lastUse  map[string]uint64
	stale    []string // statements to close before the next cycle
}

func newPreparedStatements(limit int) preparedStatements {
	return preparedStatements{limit: limit, lastUse: map[string]uint64{}}
}

// touch reports whether a statement is prepared and marks it as used.
func (statements *preparedStatements) touch(name string) bool {
	if _, ok := statements.lastUse[name]; !ok {
		return false
	}
	statements.add(name)
	return true
}

func (statements *preparedStatements) add(name string) {
	statements.useCount++
	statements.lastUse[name] = statements.useCount
}

func (statements *preparedStatements) remove(name string) {
	delete(statements.lastUse, name)
}

// invalidate marks a statement that the server reported as unusable, so that it is closed and prepared again.
func (statements *preparedStatements) invalidate(name string) {
	if _, ok := statements.lastUse[name]; ok {
		statements.stale = append(statements.stale, name)
	}
}

func (statements *preparedStatements) clear() {
	clear(statements.lastUse)
	statements.stale = nil
}

// leastRecentlyUsed returns the least recently used statement, unless it was used after the useCount maxUse.
func (statements *preparedStatements) leastRecentlyUsed(maxUse uint64) (name string, found bool) {
	for candidate, lastUse := range statements.lastUse {
		if lastUse <= maxUse {
			name, maxUse, found = candidate, lastUse, true
		}
	}
	return name, found
}
