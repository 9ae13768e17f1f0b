package main

import (
	"encoding/json"
	"os"

	"github.com/integrii/flaggy"

	"corianderspool.example/spool/internal/bench/slope"
)

const defaultRounds = 3

// slopes is the subcommand that measures the cost of parts of the proxy at several sizes.
type slopes struct {
	*flaggy.Subcommand
	options slope.Options
	asJSON  bool
}

func newSlopes() *slopes {
	slopes := &slopes{
		Subcommand: flaggy.NewSubcommand("Slopes"),
		options:    slope.Options{Rounds: defaultRounds},
	}
	slopes.Description = "What parts of the proxy cost at several sizes, with least-squares lines"
	slopes.String(&slopes.options.Only, "o", "only", "Regular expression that the names of the measures match")
	slopes.Int(&slopes.options.Rounds, "r", "rounds", "Runs at each size, of which the median counts")
	slopes.Bool(&slopes.asJSON, "", "json", "Print JSON in place of a table")
	flaggy.AttachSubcommand(slopes.Subcommand, 1)
	return slopes
}

func (slopes *slopes) run() error {
	report, err := slope.Run(slopes.options)
	if err != nil {
		return err
	}
	if slopes.asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.WriteTable(os.Stdout)
}
