package draw_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/bench/draw"
	"corianderspool.example/spool/internal/bench/path"
	"corianderspool.example/spool/internal/bench/policy"
	"corianderspool.example/spool/internal/bench/slope"
)

func TestPlotDirHoldsPlotsAndCommands(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(c.TempDir(), "out")
	plotDir, err := draw.NewPlotDir(dir)
	c.Assert(err, qt.IsNil)
	points := []slope.Point{{Size: 1, Value: 2}, {Size: 2, Value: 4}}
	c.Assert(plotDir.DrawSlopes(slope.Report{Series: []slope.Series{{
		Name: "HeartbeatHeld", Size: "roles", Unit: "bytes", Points: points, Fit: slope.FitLine(points),
	}}}), qt.IsNil)
	c.Assert(plotDir.DrawPath(path.Report{Rows: []path.Row{{Connections: 1}, {Connections: 16}}}), qt.IsNil)
	share := 0.5
	c.Assert(plotDir.DrawPolicy([]policy.Result{
		{Partner: policy.Deployments()[0].Partner, Scenario: "calm", Variant: "naive", WorstTeamShare: &share, Seed: 3},
	}), qt.IsNil)
	c.Assert(plotDir.Close(), qt.IsNil)
	for _, name := range []string{"slope-HeartbeatHeld", "path-throughput", "path-latency"} {
		for _, format := range []string{".svg", ".png"} {
			info, err := os.Stat(filepath.Join(dir, name+format))
			c.Assert(err, qt.IsNil)
			c.Assert(info.Size() > 0, qt.IsTrue)
		}
	}
	commands, err := os.ReadFile(filepath.Join(dir, "COMMANDS.txt"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(commands), qt.Contains, "slope-HeartbeatHeld: go run ./cmd/bench Slopes --only '^HeartbeatHeld$'\n")
	c.Assert(string(commands), qt.Contains, "go run ./cmd/bench Policy --seed 3\n")
}
