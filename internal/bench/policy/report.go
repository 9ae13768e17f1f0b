package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"corianderspool.example/spool/pkg/spool"
)

const millisPerSecond = 1000

// Result holds the measures of one scenario; a measure is nil where the scenario has none.
type Result struct {
	Partner           spool.Partner
	Scenario          string
	Variant           string
	Seed              uint64
	ReplicaReadShare  *float64
	FailoverGapMillis *float64
	WorstTeamShare    *float64 // served part of what a team inside its rate asked, for the worst of these teams
	WrongfulRefusals  *float64 // part of the requests inside their team's rate that were not served
	StaleReads        int      // reads that missed a write that their session had seen
	AboveBound        int      // requests admitted above a team's rate and burst over the whole fleet
}

// Measure runs all scenarios at both partners' sizes with all variants.
func Measure(seed uint64) []Result {
	var results []Result
	for _, size := range Sizes() {
		for _, scenario := range Scenarios() {
			for _, variant := range Variants() {
				result := Summarize(Run(size, scenario, variant, seed))
				result.Partner = size.Partner
				result.Scenario = scenario.Name
				result.Variant = variant.Name
				result.Seed = seed
				results = append(results, result)
			}
		}
	}
	return results
}

// Summarize computes the measures of an outcome; the first team may exceed its rate and is left out of the shares.
func Summarize(outcome Outcome) Result {
	worst := 1.0
	inside := 0
	refused := 0
	result := Result{WorstTeamShare: &worst, StaleReads: outcome.StaleReads}
	for i, tally := range outcome.Tallies {
		result.AboveBound += tally.AboveBound
		if i == 0 {
			continue
		}
		worst = min(worst, float64(tally.Served)/float64(max(1, tally.Asked)))
		inside += tally.Inside
		refused += tally.Refused
	}
	result.WrongfulRefusals = quotient(refused, inside)
	result.ReplicaReadShare = quotient(outcome.ReplicaReads, outcome.MayReads)
	if outcome.NextWrite > 0 {
		gap := outcome.NextWrite.Sub(outcome.LastWrite).Seconds() * millisPerSecond
		result.FailoverGapMillis = &gap
	}
	return result
}

// quotient returns the part, or nil of nothing.
func quotient(part, whole int) *float64 {
	if whole == 0 {
		return nil
	}
	value := float64(part) / float64(whole)
	return &value
}

// WriteTable writes the results as a table of text.
func WriteTable(output io.Writer, results []Result) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Partner\tScenario\tVariant\tReplicaReadShare\tFailoverGapMillis\tWorstTeamShare\tWrongfulRefusals\tStaleReads\tAboveBound")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n",
			result.Partner, result.Scenario, result.Variant,
			text(result.ReplicaReadShare), text(result.FailoverGapMillis),
			text(result.WorstTeamShare), text(result.WrongfulRefusals), result.StaleReads, result.AboveBound)
	}
	return table.Flush()
}

// WriteJSON writes the results as JSON; a measure is null where the scenario has none.
func WriteJSON(output io.Writer, results []Result) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

func text(measure *float64) string {
	if measure == nil {
		return "-"
	}
	return fmt.Sprintf("%.4f", *measure)
}
