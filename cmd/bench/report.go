package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/bench/draw"
)

// report is the subcommand that plots the JSON results of the other subcommands.
type report struct {
	*flaggy.Subcommand
	dir string
}

func newReport() *report {
	report := &report{Subcommand: flaggy.NewSubcommand("Report"), dir: "out"}
	report.Description = "Plots slopes.json, path.json and policy.json of a folder, as far as they are there"
	report.String(&report.dir, "d", "dir", "Folder that holds the JSON and gets the plots")
	flaggy.AttachSubcommand(report.Subcommand, 1)
	return report
}

func (report *report) run() error {
	plotDir, err := draw.NewPlotDir(report.dir)
	if err != nil {
		return err
	}
	if err := plotFile(report.dir, "slopes.json", plotDir.DrawSlopes); err != nil {
		return err
	}
	if err := plotFile(report.dir, "path.json", plotDir.DrawPath); err != nil {
		return err
	}
	if err := plotFile(report.dir, "policy.json", plotDir.DrawPolicy); err != nil {
		return err
	}
	return plotDir.Close()
}

// plotFile plots the content of a JSON file; a missing file is skipped.
func plotFile[Content any](dir, name string, plot func(content Content) error) error {
	text, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read the benchmark results")
	}
	var content Content
	if err := json.Unmarshal(text, &content); err != nil {
		return eris.Wrapf(err, "decode %s", name)
	}
	return plot(content)
}
