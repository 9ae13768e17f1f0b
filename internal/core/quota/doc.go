// Package quota bounds the rate and burst of teams over the whole fleet.
//
// In a small fleet each proxy mints its part of a team's rate, one over the
// number of registered proxies, and tokens move between proxies where a team
// needs them. In a large one that part would be far below a token, so a few
// registered proxies of each region, the team's homes, mint all of it and give
// tokens to the others as operations ask for them. Tokens are minted once, so
// losing a message or a proxy loses tokens and never adds any. An operation holds
// its token until it reaches a server; one that reaches none gives it back.
//
// Load it answers: teams that send several times their rate, teams whose
// callers all sit at one proxy or at a few of hundreds, and proxies that restart or are cut off.
package quota
