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
	pathCommand    = "go run ./cmd/bench Path"
	barWidth       = 14  // points
	legendHeadroom = 1.3 // upper end of the y axis as a multiple of the highest bar, which leaves room for the legend
)

// DrawPath plots throughput and median latency against the number of connections, direct and through the proxy.
func (plotDir *PlotDir) DrawPath(report path.Report) error {
	rows := report.Rows
	err := plotDir.drawPair("path-throughput", "statements a second", rows,
		func(row path.Row) float64 { return row.DirectPerSecond },
		func(row path.Row) float64 { return row.ProxiedPerSecond })
	if err != nil {
		return err
	}
	return plotDir.drawPair("path-latency", "median latency in µs", rows,
		func(row path.Row) float64 { return row.DirectMedianMicros },
		func(row path.Row) float64 { return row.ProxiedMedianMicros })
}

func (plotDir *PlotDir) drawPair(name, unit string, rows []path.Row, direct, proxied func(path.Row) float64) error {
	figure := plot.New()
	figure.X.Label.Text = "connections"
	figure.Y.Label.Text = unit
	figure.Y.Min = 0
	figure.Legend.Top = true
	figure.Legend.Left = true
	if err := addLines(
		figure, "direct", pointsByConnections(rows, direct), "through the proxy", pointsByConnections(rows, proxied),
	); err != nil {
		return err
	}
	return plotDir.save(figure, name, "Path through the proxy", pathCommand)
}

func pointsByConnections(rows []path.Row, value func(path.Row) float64) plotter.XYs {
	points := plotter.XYs{}
	for _, row := range rows {
		points = append(points, plotter.XY{X: float64(row.Connections), Y: value(row)})
	}
	return points
}

// DrawPolicy plots, for each partner, the worst team's share and the wrongful refusals by scenario and variant.
func (plotDir *PlotDir) DrawPolicy(results []policy.Result) error {
	for _, deployment := range policy.Deployments() {
		partner := string(deployment.Partner)
		partnerResults := []policy.Result{}
		for _, result := range results {
			if result.Partner == deployment.Partner {
				partnerResults = append(partnerResults, result)
			}
		}
		worst := func(result policy.Result) *float64 { return result.WorstTeamShare }
		if err := plotDir.drawBars("policy-worst-"+partner, "part served of the worst team", partnerResults, worst); err != nil {
			return err
		}
		refused := func(result policy.Result) *float64 { return result.WrongfulRefusals }
		if err := plotDir.drawBars("policy-refused-"+partner, "part refused wrongfully", partnerResults, refused); err != nil {
			return err
		}
	}
	return nil
}

func (plotDir *PlotDir) drawBars(name, unit string, results []policy.Result, value func(policy.Result) *float64) error {
	if len(results) == 0 {
		return nil
	}
	figure := plot.New()
	figure.Y.Label.Text = unit
	figure.Y.Min = 0
	figure.Legend.Top = true
	scenarios, variants := distinctNames(results)
	for i, variant := range variants {
		values := make(plotter.Values, len(scenarios))
		for _, result := range results {
			if metric := value(result); result.Variant == variant && metric != nil {
				values[index(scenarios, result.Scenario)] = *metric
			}
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return eris.Wrapf(err, "create the bar chart %s", name)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = vg.Points(barWidth * (float64(i) - float64(len(variants)-1)/2))
		figure.Add(chart)
		figure.Legend.Add(variant, chart)
	}
	figure.NominalX(scenarios...)
	figure.X.Min, figure.X.Max = -0.5, float64(len(scenarios))-0.5
	figure.Y.Max *= legendHeadroom
	command := fmt.Sprintf("go run ./cmd/bench Policy --seed %d", results[0].Seed)
	return plotDir.save(figure, name, string(results[0].Partner), command)
}

// distinctNames returns the names of the scenarios and variants, each in the order of its first result.
func distinctNames(results []policy.Result) (scenarios, variants []string) {
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
