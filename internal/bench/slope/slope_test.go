package slope

import (
	"encoding/json"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestFitLineFindsSlopeAndIntercept(t *testing.T) {
	c := qt.New(t)
	fit := FitLine([]Point{{Size: 1, Value: 5}, {Size: 2, Value: 8}, {Size: 4, Value: 14}})
	c.Assert(almostEqual(fit.Slope, 3), qt.IsTrue, qt.Commentf("%v", fit))
	c.Assert(almostEqual(fit.Intercept, 2), qt.IsTrue, qt.Commentf("%v", fit))
	c.Assert(almostEqual(fit.R2, 1), qt.IsTrue, qt.Commentf("%v", fit))
}

func TestFitLineOfEqualValuesIsFlat(t *testing.T) {
	c := qt.New(t)
	fit := FitLine([]Point{{Size: 1, Value: 5}, {Size: 2, Value: 5}})
	c.Assert(fit, qt.Equals, Fit{Slope: 0, Intercept: 5, R2: 1})
}

func TestReportJSONShape(t *testing.T) {
	c := qt.New(t)
	report := Report{Threads: 2, Cores: 10, Rounds: 1, LoadBefore: 1, LoadAfter: 2, Series: []Series{{
		Name: "HeartbeatHeld", Size: "roles", Unit: "bytes",
		Points: []Point{{Size: 1, Value: 124}, {Size: 4, Value: 197}},
		Fit:    Fit{Slope: 24, Intercept: 100, R2: 1},
	}}}
	encoded, err := json.Marshal(report)
	c.Assert(err, qt.IsNil)
	c.Assert(string(encoded), qt.JSONEquals, map[string]any{
		"Threads": 2, "Cores": 10, "Rounds": 1, "LoadBefore": 1, "LoadAfter": 2,
		"Series": []any{map[string]any{
			"Name": "HeartbeatHeld", "Size": "roles", "Unit": "bytes",
			"Points": []any{
				map[string]any{"Size": 1, "Value": 124},
				map[string]any{"Size": 4, "Value": 197},
			},
			"Fit": map[string]any{"Slope": 24, "Intercept": 100, "R2": 1},
		}},
	})
}

func TestRunFitsLineThroughSelectedMeasure(t *testing.T) {
	c := qt.New(t)
	report, err := Run(Options{Only: "^VoteTeamBytes$", Rounds: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Series, qt.HasLen, 1)
	series := report.Series[0]
	c.Assert(series.Points, qt.DeepEquals, []Point{{Size: 10, Value: 110}, {Size: 20, Value: 130}, {Size: 40, Value: 170}})
	c.Assert(almostEqual(series.Fit.Slope, 2), qt.IsTrue, qt.Commentf("%v", series.Fit))
}

func TestMeasuresHaveThreeSizesAndUniqueNames(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, measure := range measures() {
		c.Assert(seen[measure.name], qt.IsFalse, qt.Commentf("%s", measure.name))
		seen[measure.name] = true
		c.Assert(len(measure.sizes) >= 3, qt.IsTrue, qt.Commentf("%s", measure.name))
	}
}
