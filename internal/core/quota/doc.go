// Package quota limits the rate and burst of teams over the whole fleet by token buckets.
//
// In a small fleet the bucket of every proxy refills at an equal share of the team's rate, and proxies transfer tokens to where
// the team needs them. In a large one that share would be far below a token, so only the team's issuers refill, one registered
// proxy in each region, and send tokens to the other proxies on request. Every token is created at one proxy only, so the loss
// of a message or a proxy loses tokens and never adds any. An operation reserves a token until it reaches a server; if it
// reaches none, the token is returned.
//
// The bound holds for teams that send several times their rate, for teams whose callers use one proxy or a few out of hundreds,
// and while proxies restart or are partitioned.
package quota
