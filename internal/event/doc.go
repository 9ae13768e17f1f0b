// Package event numbers the log events of the proxy; docs/EVENTS.md is their catalogue.
package event
