// Package clock implements the timer service, on the machine's clock and on simulated time.
package clock
