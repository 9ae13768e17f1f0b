// Package peer transports control messages and data streams between proxies over yamux, with mutual TLS or plain TCP.
package peer
