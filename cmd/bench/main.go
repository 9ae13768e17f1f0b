// Command bench runs benchmarks of the proxy.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/bench/path"
)

func main() {
	options := path.Options{
		Query:    "SELECT 1",
		Pairs:    5,
		Duration: time.Second,
	}
	asJSON := false
	pathCommand := flaggy.NewSubcommand("Path")
	pathCommand.Description = "Small queries through the proxy against direct ones, as the median of paired runs"
	pathCommand.String(&options.Direct, "", "direct", "Connection string of a running server; without it a stand-in is started")
	pathCommand.String(&options.Proxied, "", "proxied", "Connection string of a running proxy before that server")
	pathCommand.String(&options.Query, "q", "query", "The query")
	pathCommand.IntSlice(&options.Connections, "c", "connections", "Number of connections, once or more; 1, 16 and 128 without it")
	pathCommand.Int(&options.Pairs, "p", "pairs", "Pairs of runs")
	pathCommand.Duration(&options.Duration, "d", "duration", "Time of one run")
	pathCommand.Bool(&asJSON, "", "json", "Print JSON in place of a table")
	seed := uint64(1)
	policyCommand := flaggy.NewSubcommand("Policy")
	policyCommand.Description = "The decisions on seeded virtual time at both partners' sizes"
	policyCommand.UInt64(&seed, "s", "seed", "Seed of the requests")
	policyCommand.Bool(&asJSON, "", "json", "Print JSON in place of a table")
	flaggy.SetName("bench")
	flaggy.SetDescription("Measures the proxy.")
	flaggy.AttachSubcommand(pathCommand, 1)
	flaggy.AttachSubcommand(policyCommand, 1)
	slopes := newSlopes()
	report := newReport()
	flaggy.Parse()
	if len(options.Connections) == 0 {
		options.Connections = []int{1, 16, 128}
	}
	var err error
	switch {
	case pathCommand.Used:
		err = run(options, asJSON)
	case policyCommand.Used:
		err = runPolicy(seed, asJSON)
	case slopes.Used:
		err = slopes.run()
	case report.Used:
		err = report.run()
	default:
		flaggy.ShowHelpAndExit("")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(options path.Options, asJSON bool) error {
	if (options.Direct == "") != (options.Proxied == "") {
		return eris.New("--direct and --proxied belong together")
	}
	if options.Direct == "" {
		testbed, err := path.NewTestbed()
		if err != nil {
			return err
		}
		defer testbed.Close()
		options.Direct = testbed.Direct()
		options.Proxied = testbed.Proxied()
	}
	report, err := path.Run(context.Background(), options)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.WriteTable(os.Stdout)
}
