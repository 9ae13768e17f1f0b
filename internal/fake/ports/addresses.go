package ports

import "github.com/rotisserie/eris"

// process reserves the ports of this process.
var process reservation

// FreeAddresses returns count different loopback addresses with free ports, which other processes that call it do not get while this one
// runs; it fails if it finds none.
//
// The ports lie below the ephemeral range, so that no outgoing connection occupies one before a process listens on it or
// while a process restarts.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := process.listen()
		if err != nil {
			return nil, eris.Wrap(err, "find a free loopback port")
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}
