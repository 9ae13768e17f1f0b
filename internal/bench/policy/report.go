package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"corianderspool.example/spool/pkg/spool"
)

// Result holds the measures of one scenario; a nil measure was not measured.
type Result struct {
	Partner           spool.Partner
	Scenario          string
	Variant           string
	Seed              uint64
	ReplicaReadShare  *float64
	FailoverGapMillis *float64
	WorstTeamShare    *float64 // served part of what a team inside its rate asked, for the worst of these teams
	WrongfulRefusals  *float64 // part of the requests inside their team's rate that were not served
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

// Summarize computes the measures from the tallies; the first team may exceed its rate and is left out of the shares.
func Summarize(tallies []Tally) Result {
	worst := 1.0
	inside := 0
	refused := 0
	result := Result{WorstTeamShare: &worst}
	for i, tally := range tallies {
		result.AboveBound += tally.AboveBound
		if i == 0 {
			continue
		}
		worst = min(worst, float64(tally.Served)/float64(max(1, tally.Asked)))
		inside += tally.Inside
		refused += tally.Refused
	}
	part := float64(refused) / float64(max(1, inside))
	result.WrongfulRefusals = &part
	return result
}

// WriteTable writes the results as a table of text.
func WriteTable(output io.Writer, results []Result) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Partner\tScenario\tVariant\tReplicaReadShare\tFailoverGapMillis\tWorstTeamShare\tWrongfulRefusals\tAboveBound")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n",
			result.Partner, result.Scenario, result.Variant,
			text(result.ReplicaReadShare), text(result.FailoverGapMillis),
			text(result.WorstTeamShare), text(result.WrongfulRefusals), result.AboveBound)
	}
	return table.Flush()
}

// WriteJSON writes the results as JSON; a measure that is null was not measured.
func WriteJSON(output io.Writer, results []Result) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

func text(measure *float64) string {
	if measure == nil {
		return "not measured"
	}
	return fmt.Sprintf("%.4f", *measure)
}
