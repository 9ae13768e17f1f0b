package draw

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"corianderspool.example/spool/internal/bench/slope"
)

// DrawSlopes plots every series as points with its fitted line.
func (plotDir *PlotDir) DrawSlopes(report slope.Report) error {
	for _, series := range report.Series {
		if err := plotDir.drawSeries(series); err != nil {
			return err
		}
	}
	return nil
}

func (plotDir *PlotDir) drawSeries(series slope.Series) error {
	figure := plot.New()
	figure.X.Label.Text = series.Size
	figure.Y.Label.Text = series.Unit
	figure.Legend.Top = true
	figure.Legend.Left = true
	points := plotter.XYs{}
	highest := 0.0
	for _, point := range series.Points {
		points = append(points, plotter.XY{X: point.Size, Y: point.Value})
		highest = max(highest, point.Size)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrapf(err, "create the scatter plot %s", series.Name)
	}
	fitted := plotter.NewFunction(func(x float64) float64 { return series.Fit.Intercept + series.Fit.Slope*x })
	fitted.XMin, fitted.XMax = 0, highest
	fitted.Color = plotutil.Color(1)
	figure.Add(scatter, fitted)
	figure.Legend.Add("median", scatter)
	figure.Legend.Add(fmt.Sprintf("%.4g x + %.4g, r² %.3f", series.Fit.Slope, series.Fit.Intercept, series.Fit.R2), fitted)
	figure.X.Min = 0
	figure.Y.Min = min(0, figure.Y.Min)
	command := fmt.Sprintf("go run ./cmd/bench Slopes --only '^%s$'", series.Name)
	return plotDir.save(figure, "slope-"+series.Name, series.Name, command)
}
