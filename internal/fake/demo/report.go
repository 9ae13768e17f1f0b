package demo

import (
	"fmt"
	"time"
)

const maxWithdrawalDelay = 4 * time.Second

// Report is the result of a run, printed as JSON in its last line.
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

// violatedGuarantees describes the guarantees that were violated in the run.
func (run *run) violatedGuarantees() []string {
	rules := []struct {
		count int
		text  string
	}{
		{run.violations.Lost, "acknowledged writes were lost"},
		{run.report.DuplicateWrites, "writes were applied more than once"},
		{run.history.StaleReads, "reads lacked the session's own writes"},
		{run.history.ForeignReads, "reads returned values of another write"},
		{run.violations.RefusedButRan, "statements refused as not run were executed"},
		{run.violations.Torn, "transactions were applied partially"},
		{run.foreignLogins, "logins at servers did not use the proxy's own user"},
	}
	violated := []string{}
	for _, rule := range rules {
		if rule.count > 0 {
			violated = append(violated, fmt.Sprintf("%d %s", rule.count, rule.text))
		}
	}
	if run.withdrawalDelay > maxWithdrawalDelay {
		violated = append(violated, fmt.Sprintf("a withdrawn key still worked after %s", maxWithdrawalDelay))
	}
	return append(violated, run.failures...)
}

// fillReport computes the report from the history, the violations and the servers' counts.
func (run *run) fillReport() {
	counts := run.history.OutcomeCounts
	report := &run.report
	report.Answered = counts[OutcomeAnswered] + counts[OutcomeDuplicateKey]
	report.RefusedNotRun = counts[OutcomeNotRun]
	report.OutcomeUnknown = counts[OutcomeUnknown]
	report.Requests = report.Answered + report.RefusedNotRun + report.OutcomeUnknown
	report.LostAcknowledgedWrites = run.violations.Lost
	report.DuplicateWrites = max(run.violations.Duplicate, run.history.DuplicateReads)
	report.StaleSessionReads = run.history.StaleReads
	report.KeyWithdrawalMillis = run.withdrawalDelay.Milliseconds()
	primary, replica := run.fleet.countReads()
	primary += run.killedServerPrimaryReads
	replica += run.killedServerReplicaReads
	if primary+replica > 0 {
		report.ReplicaReadShare = float64(replica) / float64(primary+replica)
	}
}
