package spread

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// DefaultBandwidth is the bandwidth in bytes a second that is assumed of an unknown link.
	DefaultBandwidth = 1.25e6
	// serveWindow is the time in which the link could send all transfers in progress. With more, each one takes longer, and the
	// first copies, which others could fetch from, are complete later.
	serveWindow = 150 * time.Millisecond
	// maxTransfers bounds the transfers in progress also when they are small.
	maxTransfers = 64
	// maxNamed is the number of sources in the answer of a busy server.
	maxNamed = 4
	// maxCompleted bounds the remembered proxies that completed the newest version; the latest ones are kept.
	maxCompleted = 128
	shortRetry   = 20 * time.Millisecond
	longRetry    = time.Second
)

// Requester is a proxy that asks for a version.
type Requester struct {
	VM     spool.VM
	Domain spool.Domain
}

// Decision is the answer to a request.
type Decision struct {
	Granted bool
	ID      uint64        // of the transfer that was granted
	Sources []spool.VM    // to ask instead, nearest to the requester first
	Retry   time.Duration // until this proxy may be asked again
}

// Server decides which transfers a proxy serves at once.
type Server struct {
	bandwidth float64
	random    func(limit int64) int64
	version   uint64
	completed []Requester // proxies that completed the newest version from this one, oldest first
	active    map[uint64]activeTransfer
	bytes     int // of all transfers in progress
	lastID    uint64
	named     int // rotates the named sources
}

type activeTransfer struct {
	Requester
	version uint64
	bytes   int
}

// NewServer returns a server that has nothing; the bandwidth is in bytes a second, zero if it is not known.
func NewServer(bandwidth float64, random func(limit int64) int64) *Server {
	if bandwidth <= 0 {
		bandwidth = DefaultBandwidth
	}
	return &Server{bandwidth: bandwidth, random: random, active: map[uint64]activeTransfer{}}
}

// Publish sets the newest version that the server has; a lower one is ignored.
func (server *Server) Publish(version uint64) {
	if version > server.version {
		server.version, server.completed = version, nil
	}
}

// InProgress returns the number of transfers in progress.
func (server *Server) InProgress() int { return len(server.active) }

// Admit decides whether to serve a transfer of the newest version that has the given size in bytes. A small transfer, such as
// that of a small change, is served beside large ones.
func (server *Server) Admit(requester Requester, bytes int) Decision {
	window := int(server.bandwidth * serveWindow.Seconds())
	fits := bytes <= smallBytes || server.bytes == 0 || server.bytes+bytes <= window
	if !fits || len(server.active) >= maxTransfers {
		return Decision{Sources: server.nameSources(requester), Retry: server.retry()}
	}
	server.lastID++
	server.active[server.lastID] = activeTransfer{requester, server.version, bytes}
	server.bytes += bytes
	return Decision{Granted: true, ID: server.lastID}
}

// Finish ends a transfer; a requester that completed it can serve others.
func (server *Server) Finish(id uint64, completed bool) {
	ended, known := server.active[id]
	if !known {
		return
	}
	delete(server.active, id)
	server.bytes -= ended.bytes
	if !completed || ended.version != server.version {
		return
	}
	server.completed = append(server.completed, ended.Requester)
	server.completed = server.completed[max(0, len(server.completed)-maxCompleted):]
}

// nameSources returns proxies that completed the newest version, those of the requester's failure domain first. Each answer
// begins with another one, so that the requesters spread.
func (server *Server) nameSources(requester Requester) []spool.VM {
	var near, far []spool.VM
	for i := range server.completed {
		candidate := server.completed[(i+server.named)%len(server.completed)]
		switch {
		case candidate.VM == requester.VM:
		case candidate.Domain == requester.Domain:
			near = append(near, candidate.VM)
		default:
			far = append(far, candidate.VM)
		}
	}
	server.named++
	near = append(near, far...)
	return near[:min(len(near), maxNamed)]
}

// retry returns a time about which transfers in progress end.
func (server *Server) retry() time.Duration {
	busy := time.Duration(float64(server.bytes) / server.bandwidth * float64(time.Second))
	busy = min(max(busy, shortRetry), longRetry)
	return busy/4 + time.Duration(server.random(int64(busy)))
}
