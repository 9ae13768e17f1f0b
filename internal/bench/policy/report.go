package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"corianderspool.example/spool/pkg/spool"
)

const millisPerSecond = 1000

// Result holds the metrics of one scenario; a metric is nil if it does not apply to the scenario.
type Result struct {
	Partner           spool.Partner
	Scenario          string
	Variant           string
	Seed              uint64
	ReplicaReadShare  *float64
	FailoverGapMillis *float64
	WorstTeamShare    *float64 // lowest fraction of requests served among the teams that stay within their rate
	WrongfulRefusals  *float64 // fraction of the requests within their team's rate that were not served
	StaleReads        int      // reads that missed a write their session had seen
	AboveBound        int      // requests admitted above a team's rate and burst over the whole fleet
}

// Measure runs all variants in all scenarios for both partners' deployments.
func Measure(seed uint64) []Result {
	var results []Result
	for _, deployment := range Deployments() {
		for _, scenario := range Scenarios() {
			for _, variant := range Variants() {
				result := Summarize(Run(deployment, scenario, variant, seed))
				result.Partner = deployment.Partner
				result.Scenario = scenario.Name
				result.Variant = variant.Name
				result.Seed = seed
				results = append(results, result)
			}
		}
	}
	return results
}

// Summarize computes the metrics of an outcome; shares exclude the first team, because it may exceed its rate.
func Summarize(outcome Outcome) Result {
	worst := 1.0
	withinRate := 0
	refused := 0
	result := Result{WorstTeamShare: &worst, StaleReads: outcome.StaleReads}
	for i, counts := range outcome.TeamCounts {
		result.AboveBound += counts.AboveBound
		if i == 0 {
			continue
		}
		worst = min(worst, float64(counts.Served)/float64(max(1, counts.Requests)))
		withinRate += counts.WithinRate
		refused += counts.Refused
	}
	result.WrongfulRefusals = quotient(refused, withinRate)
	result.ReplicaReadShare = quotient(outcome.ReplicaReads, outcome.ReplicaEligibleReads)
	if outcome.FirstWriteAfterFailure > 0 {
		gap := outcome.FirstWriteAfterFailure.Sub(outcome.LastWriteBeforeFailure).Seconds() * millisPerSecond
		result.FailoverGapMillis = &gap
	}
	return result
}

// quotient returns part divided by whole, or nil if whole is zero.
func quotient(part, whole int) *float64 {
	if whole == 0 {
		return nil
	}
	value := float64(part) / float64(whole)
	return &value
}

// WriteTable writes the results as a text table.
func WriteTable(output io.Writer, results []Result) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Partner\tScenario\tVariant\tReplicaReadShare\tFailoverGapMillis\tWorstTeamShare\tWrongfulRefusals\tStaleReads\tAboveBound")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			result.Partner, result.Scenario, result.Variant,
			formatMetric(result.ReplicaReadShare), formatMetric(result.FailoverGapMillis),
			formatMetric(result.WorstTeamShare), formatMetric(result.WrongfulRefusals), result.StaleReads, result.AboveBound)
	}
	return table.Flush()
}

// WriteJSON writes the results as JSON; a metric is null if it does not apply to the scenario.
func WriteJSON(output io.Writer, results []Result) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

func formatMetric(metric *float64) string {
	if metric == nil {
		return "-"
	}
	return fmt.Sprintf("%.4f", *metric)
}
