// Package event defines the numbered log events of the proxy, which docs/EVENTS.md documents.
package event
