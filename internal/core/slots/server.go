package slots

// server is a backend server with its limits and the slots and connections in use.
type server struct {
	limit       Limit
	busy        int
	connections int
}

func (server *server) acceptsWork() bool { return server.limit.Up && !server.limit.Leaving }

// capacity returns how many transactions may run concurrently.
func (server *server) capacity() int {
	if !server.acceptsWork() {
		return 0
	}
	if server.limit.Connections > 0 {
		return min(server.limit.Slots, server.limit.Connections)
	}
	return server.limit.Slots
}

// free returns how many more transactions may start.
func (server *server) free() int { return server.capacity() - server.busy }
