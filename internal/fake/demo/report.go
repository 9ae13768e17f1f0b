package demo

import (
	"fmt"
	"time"
)

const maxWithdrawal = 4 * time.Second

// Report is the last line of a run.
type Report struct {
	Requests               int
	Answered               int
	RefusedNotRun          int
	OutcomeUnknown         int
	LostAcknowledgedWrites int
	DuplicateWrites        int
	StaleSessionReads      int
	ReplicaReadShare       float64
	FailoverGapMillis      int64
	KeyWithdrawalMillis    int64
}

// broken lists the promises that the run broke, in plain words.
func (run *run) broken() []string {
	rules := []struct {
		count int
		text  string
	}{
		{run.verdict.Lost, "acknowledged writes were lost"},
		{run.report.DuplicateWrites, "writes ran more than once"},
		{run.ledger.Stale, "reads did not show the session's own writes"},
		{run.ledger.Mixed, "reads showed what another request wrote"},
		{run.verdict.NotRunRan, "statements refused as not run ran all the same"},
		{run.verdict.Torn, "transactions ran in part"},
		{run.strangers, "logins at servers did not use the proxy's own user"},
	}
	broken := []string{}
	for _, rule := range rules {
		if rule.count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", rule.count, rule.text))
		}
	}
	if run.withdrawal > maxWithdrawal {
		broken = append(broken, fmt.Sprintf("a withdrawn key was alive after %s", maxWithdrawal))
	}
	return append(broken, run.failures...)
}

// fill computes the report from what the run saw.
func (run *run) fill() {
	counts := run.ledger.Counts
	report := &run.report
	report.Answered = counts[Answered] + counts[Duplicate]
	report.RefusedNotRun = counts[NotRun]
	report.OutcomeUnknown = counts[Unknown]
	report.Requests = report.Answered + report.RefusedNotRun + report.OutcomeUnknown
	report.LostAcknowledgedWrites = run.verdict.Lost
	report.DuplicateWrites = max(run.verdict.Duplicate, run.ledger.Repeated)
	report.StaleSessionReads = run.ledger.Stale
	report.KeyWithdrawalMillis = run.withdrawal.Milliseconds()
	primary, replica := run.fleet.reads()
	primary += run.deadPrimaryReads
	replica += run.deadReplicaReads
	if primary+replica > 0 {
		report.ReplicaReadShare = float64(replica) / float64(primary+replica)
	}
}
