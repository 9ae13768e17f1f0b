// Package ports chooses loopback addresses for processes and tests that must know them before anybody listens.
package ports
