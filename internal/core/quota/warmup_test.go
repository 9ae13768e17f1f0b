package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

// warmupAnswer is an issuer's answer on its way.
type warmupAnswer struct {
	to      int
	number  uint64
	tokens  float64
	arrives spool.Instant
}

// TestWarmupBound guards against more requests to a server that warms up than its limit allows: answers of issuers are late or
// lost, issuers restart and are replaced, and proxies are suspended with tokens in hand. In every second at most the limit
// and one token of each issuer may be used.
func TestWarmupBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := float64(rapid.IntRange(1, 120).Draw(t, "limit"))
		const proxies = 5
		now := start
		var issuers [WarmupIssuers]*WarmupIssuer
		var tokens [proxies]WarmupTokens
		var answers []warmupAnswer
		var used []spool.Instant
		for i := range issuers {
			issuers[i] = NewWarmupIssuer(now)
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			pause := time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 60).Draw(t, "suspended") == 0 {
				pause = time.Second // all proxies resume later with what they held
			}
			now = now.Add(pause)
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				issuers[rapid.IntRange(0, WarmupIssuers-1).Draw(t, "issuer")] = NewWarmupIssuer(now)
			}
			var pending []warmupAnswer
			for _, answer := range answers {
				if answer.arrives > now {
					pending = append(pending, answer)
					continue
				}
				tokens[answer.to].Credit(answer.number, answer.tokens)
			}
			answers = pending
			proxy := rapid.IntRange(0, proxies-1).Draw(t, "proxy")
			if number, due := tokens[proxy].Request(now); due {
				for _, issuer := range issuers {
					issued := issuer.Issue(WarmupRequest, perSecond, now)
					delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
					if issued > 0 && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
						answers = append(answers, warmupAnswer{proxy, number, issued, now.Add(delay)})
					}
				}
			}
			for {
				if _, taken := tokens[proxy].Take(now); !taken {
					break
				}
				used = append(used, now)
			}
		}
		first := 0
		for i, at := range used {
			for at.Sub(used[first]) >= time.Second {
				first++
			}
			if count := i - first + 1; float64(count) > perSecond+WarmupIssuers {
				t.Fatalf("%d requests in a second, allowed are %v", count, perSecond)
			}
		}
	})
}

// TestWarmupServesMostOfTheLimit guards against a limit so cautious that a group whose only server warms up serves nearly nothing.
func TestWarmupServesMostOfTheLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond, seconds = 30, 10
	var issuers [WarmupIssuers]*WarmupIssuer
	for i := range issuers {
		issuers[i] = NewWarmupIssuer(start)
	}
	var tokens [5]WarmupTokens
	used := 0
	for step := range seconds * 100 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		proxy := &tokens[step%len(tokens)]
		if number, due := proxy.Request(now); due {
			for _, issuer := range issuers {
				proxy.Credit(number, issuer.Issue(WarmupRequest, perSecond, now))
			}
		}
		for {
			if _, taken := proxy.Take(now); !taken {
				break
			}
			used++
		}
	}
	c.Assert(used > perSecond*seconds*7/10, qt.IsTrue, qt.Commentf("%d requests", used))
}

// TestSuspendedProxyDropsExpiredTokens guards against requests of a VM that was suspended with tokens in hand.
func TestSuspendedProxyDropsExpiredTokens(t *testing.T) {
	c := qt.New(t)
	tokens := WarmupTokens{}
	number, due := tokens.Request(start)
	c.Assert(due, qt.IsTrue)
	tokens.Credit(number, 2)
	tokens.Credit(number-1, 2)
	c.Assert(tokens.Available(start.Add(WarmupTokenLifetime-1)), qt.IsTrue)
	_, taken := tokens.Take(start.Add(WarmupTokenLifetime))
	c.Assert(taken, qt.IsFalse)
}
