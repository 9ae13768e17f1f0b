package draw

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"corianderspool.example/spool/internal/bench/path"
	"corianderspool.example/spool/internal/bench/policy"
)

const (
	pathCommand = "go run ./cmd/bench Path"
	barWidth    = 14  // points
	legendRoom  = 1.3 // height of the plot as a multiple of the highest bar
)

// Path draws throughput and median latency against the number of connections.
func (page *Page) Path(report path.Report) error {
	rows := report.Rows
	err := page.pair("path-throughput", "statements a second", rows,
		func(row path.Row) float64 { return row.DirectPerSecond },
		func(row path.Row) float64 { return row.ProxiedPerSecond })
	if err != nil {
		return err
	}
	return page.pair("path-latency", "median latency in µs", rows,
		func(row path.Row) float64 { return row.DirectMedianMicros },
		func(row path.Row) float64 { return row.ProxiedMedianMicros })
}

func (page *Page) pair(name, unit string, rows []path.Row, direct, proxied func(path.Row) float64) error {
	drawn := plot.New()
	drawn.X.Label.Text = "connections"
	drawn.Y.Label.Text = unit
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.Legend.Left = true
	if err := lines(drawn, "direct", against(rows, direct), "through the proxy", against(rows, proxied)); err != nil {
		return err
	}
	return page.save(drawn, name, "Path through the proxy", pathCommand)
}

func against(rows []path.Row, value func(path.Row) float64) plotter.XYs {
	points := plotter.XYs{}
	for _, row := range rows {
		points = append(points, plotter.XY{X: float64(row.Connections), Y: value(row)})
	}
	return points
}

// Policy draws how the worst team fares and the wrongful refusals, for each partner, scenario and variant.
func (page *Page) Policy(results []policy.Result) error {
	for _, size := range policy.Sizes() {
		partner := string(size.Partner)
		chosen := []policy.Result{}
		for _, result := range results {
			if result.Partner == size.Partner {
				chosen = append(chosen, result)
			}
		}
		worst := func(result policy.Result) *float64 { return result.WorstTeamShare }
		if err := page.bars("policy-worst-"+partner, "part served of the worst team", chosen, worst); err != nil {
			return err
		}
		refused := func(result policy.Result) *float64 { return result.WrongfulRefusals }
		if err := page.bars("policy-refused-"+partner, "part refused wrongfully", chosen, refused); err != nil {
			return err
		}
	}
	return nil
}

func (page *Page) bars(name, unit string, results []policy.Result, value func(policy.Result) *float64) error {
	if len(results) == 0 {
		return nil
	}
	drawn := plot.New()
	drawn.Y.Label.Text = unit
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	scenarios, variants := order(results)
	for i, variant := range variants {
		values := make(plotter.Values, len(scenarios))
		for _, result := range results {
			if measure := value(result); result.Variant == variant && measure != nil {
				values[index(scenarios, result.Scenario)] = *measure
			}
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return eris.Wrapf(err, "bars of %s", name)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = vg.Points(barWidth * (float64(i) - float64(len(variants)-1)/2))
		drawn.Add(chart)
		drawn.Legend.Add(variant, chart)
	}
	drawn.NominalX(scenarios...)
	drawn.X.Min, drawn.X.Max = -0.5, float64(len(scenarios))-0.5
	drawn.Y.Max *= legendRoom
	command := fmt.Sprintf("go run ./cmd/bench Policy --seed %d", results[0].Seed)
	return page.save(drawn, name, string(results[0].Partner), command)
}

// order returns the scenarios and variants in the order of their first result.
func order(results []policy.Result) (scenarios, variants []string) {
	for _, result := range results {
		if index(scenarios, result.Scenario) < 0 {
			scenarios = append(scenarios, result.Scenario)
		}
		if index(variants, result.Variant) < 0 {
			variants = append(variants, result.Variant)
		}
	}
	return scenarios, variants
}

func index(names []string, name string) int {
	for i := range names {
		if names[i] == name {
			return i
		}
	}
	return -1
}
