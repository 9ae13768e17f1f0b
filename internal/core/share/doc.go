// Package share limits the rate and burst of a team over the whole fleet.
//
// The owner of a team grants tokens from one bucket to the clients on all
// proxies; a client admits a request only with a token that has provably not
// expired. In every window of length t at most burst + rate*t requests are
// admitted, whatever fails: messages, proxies, owners or the clocks' offsets.
package share
