package elect

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// search plays random orders of events, from a first seed on, as many as HANDOVER_ORDERS tells, and returns the first violation of a
// rule, and the number of promotions.
func search(rule decide, rules earlierRules, first int) (violation string, promotions int) {
	const events = 100
	runs := 30_000
	if text := os.Getenv("HANDOVER_ORDERS"); text != "" {
		runs, _ = strconv.Atoi(text)
	}
	for seed := first; seed < first+runs; seed++ {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
		model := newHandoverModel()
		model.rules = rules
		for range events {
			model.step(random.IntN, rule)
			if model.violation != "" {
				return fmt.Sprintf("seed %d: %s", seed, model.violation), promotions
			}
		}
		promotions += model.promotions
	}
	return "", promotions
}

func nextStep(known Handover) Step {
	step, _ := known.Next()
	return step
}

// without returns the rule with a change of what it is told.
func without(change func(known *Handover)) decide {
	return func(known Handover) Step {
		change(&known)
		return nextStep(known)
	}
}

// TestNoOrderOfEventsLosesACommit guards against a promotion that loses an acknowledged commit while servers join, restart, follow
// different terms, are out of the proxies' reach and not of the primary's, or the reverse, proxies restart, and two supervisors act in
// turn, end midway or late, or act on an old view.
func TestNoOrderOfEventsLosesACommit(t *testing.T) {
	for _, rules := range []earlierRules{{}, {skipJoined: true}} {
		violation, promotions := search(nextStep, rules, 0)
		qt.Check(t, violation, qt.Equals, "")
		qt.Check(t, promotions > 1000, qt.IsTrue, qt.Commentf("%d", promotions))
	}
}

// TestModelFindsTheLossesOfEarlierRules shows that the model finds the losses of each rule that an earlier version followed: a
// server out of reach counts as paused, a server that joined is not looked for, roles and terms in the answers are not used,
// acknowledged positions count although the primary may commit again, and so do those of proxies that have restarted, a supervisor
// resumes replicas that another one has paused since, commits are closed only for the primary that it knows, closed commits are
// acknowledged, planned handovers rely on pauses while servers join (review/8) or run without an entry in the registry (review/6),
// proxies that start do not read which orders are out (review/12) or are not asked, a closure ends those of earlier orders, and orders
// count as settled before one that was accepted has taken effect.
func TestModelFindsTheLossesOfEarlierRules(t *testing.T) {
	relyOnPauses := without(func(known *Handover) {
		if known.Cause == CausePlanned {
			known.Cause = CauseRetired
		}
	})
	for name, earlier := range map[string]struct {
		rule  decide
		rules earlierRules
		first int  // seed
		none  bool // there is no loss: the model's assumptions hold
	}{
		"unreachable counts as paused": {rule: without(func(known *Handover) {
			for i := range known.Reports {
				if report := &known.Reports[i]; !report.Answered && report.Server != known.Chosen && report.Server != known.Primary {
					*report = ServerReport{Server: report.Server, Answered: true, Status: spool.ReplicaStatus{Term: 1, PausedTerm: known.PauseTerm}}
				}
			}
		})},
		"joined servers are not looked for": {
			rule: without(func(known *Handover) { known.RegistryRead = true }), rules: earlierRules{skipJoined: true},
		},
		"roles and terms are not used": {rule: without(func(known *Handover) {
			for i := range known.Reports {
				status := &known.Reports[i].Status
				status.Primary, status.Term = known.Reports[i].Server == known.Primary, 0
				status.PausedTerm = known.PauseTerm
			}
		}), first: 300_000},
		"commits stay open":                            {rule: without(func(known *Handover) { known.CommitsClosed = known.Cause != CausePlanned })},
		"the bound is not checked":                     {rule: without(func(known *Handover) { known.AckedBound = spool.LogPosition{} })},
		"restarted proxies vouch":                      {rule: nextStep, rules: earlierRules{trustRestarted: true}},
		"pauses of others are ended":                   {rule: nextStep, rules: earlierRules{resumeAll: true}},
		"the primary that is known is closed":          {rule: nextStep, rules: earlierRules{closePrimary: true}, first: 43_000},
		"closed commits are acknowledged":              {rule: nextStep, rules: earlierRules{ackClosed: true}},
		"servers join planned handovers":               {rule: relyOnPauses, rules: earlierRules{pausePlanned: true, joinPlanned: true}},
		"servers are off the registry":                 {rule: relyOnPauses, rules: earlierRules{pausePlanned: true, lapsePlanned: true}},
		"proxies that start forget orders (review/12)": {rule: nextStep, rules: earlierRules{forgetOrders: true}},
		"a closure ends earlier ones":                  {rule: nextStep, rules: earlierRules{endEarlier: true}},
		"orders are settled at once":                   {rule: nextStep, rules: earlierRules{settleAtOnce: true}, first: 40_000},
		"new proxies are not asked":                    {rule: nextStep, rules: earlierRules{skipMembers: true}},
		"planned handovers rely on pauses":             {rule: relyOnPauses, rules: earlierRules{pausePlanned: true}, none: true},
	} {
		violation, _ := search(earlier.rule, earlier.rules, earlier.first)
		qt.Check(t, violation == "", qt.Equals, earlier.none, qt.Commentf("%s: %s", name, violation))
		t.Logf("%s: %s", name, violation)
	}
}
