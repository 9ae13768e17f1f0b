// Package ports picks free loopback addresses for processes and tests that must know them before they listen.
package ports
