// Package share bounds the rate and burst of a team over the whole fleet.
//
// The owner of a team mints tokens from one bucket and grants them to the
// clients on all proxies; a client admits a request only with a token that is
// provably alive. In every window of length t at most burst + rate*t requests
// are admitted, however messages, clocks' origins, proxies and owners fail.
package share
