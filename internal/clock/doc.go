// Package clock implements spool.Timers with the machine's clock and with simulated time.
package clock
