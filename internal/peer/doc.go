// Package peer carries messages and streams between proxies over yamux and mutual TLS.
package peer
