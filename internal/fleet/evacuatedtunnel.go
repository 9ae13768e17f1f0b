package fleet

import (
	"net"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// addTunnel records a connection to a server that another proxy uses and returns the function that ends the record.
func (evacuations *evacuations) addTunnel(conn net.Conn, domain spool.Domain) (remove func()) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	evacuations.tunnels[conn] = domain
	return func() {
		evacuations.mutex.Lock()
		defer evacuations.mutex.Unlock()
		delete(evacuations.tunnels, conn)
	}
}

// closeTunnels closes the tunnels to evacuated failure domains after the time for open transactions. Until then they stay open,
// since this proxy does not see which of their bytes belong to open transactions.
func (evacuations *evacuations) closeTunnels(current *place.Evacuation, now spool.Instant) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	for conn, domain := range evacuations.tunnels {
		if !current.Permits(domain, place.OpenTransaction, now) {
			_ = conn.Close() // the server rolls back
		}
	}
}

// tunnelWriter writes to a server unless its failure domain is closed for open transactions.
type tunnelWriter struct {
	net.Conn
	pool   *pool.Pool
	domain spool.Domain
}

// Write writes the bytes or returns pool.ErrEvacuated.
func (writer tunnelWriter) Write(data []byte) (int, error) {
	if err := writer.pool.CheckSend(writer.domain, place.OpenTransaction); err != nil {
		return 0, err
	}
	return writer.Conn.Write(data)
}
