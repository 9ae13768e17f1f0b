// Package quota bounds the rate and burst of teams over the whole fleet.
//
// Each proxy mints its part of a team's rate, one over the number of registered
// proxies, and tokens move between proxies where a team needs them. Tokens are
// minted once, so losing a message or a proxy loses tokens and never adds any.
//
// Load it answers: teams that send several times their rate, teams whose
// callers all sit at one proxy, and proxies that restart or are cut off.
package quota
