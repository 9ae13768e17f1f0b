package draw

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"corianderspool.example/spool/internal/bench/slope"
)

// Slopes draws every series with its line.
func (page *Page) Slopes(report slope.Report) error {
	for _, series := range report.Series {
		if err := page.slope(series); err != nil {
			return err
		}
	}
	return nil
}

func (page *Page) slope(series slope.Series) error {
	drawn := plot.New()
	drawn.X.Label.Text = series.Size
	drawn.Y.Label.Text = series.Unit
	drawn.Legend.Top = true
	drawn.Legend.Left = true
	points := plotter.XYs{}
	highest := 0.0
	for _, point := range series.Points {
		points = append(points, plotter.XY{X: point.Size, Y: point.Value})
		highest = max(highest, point.Size)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrapf(err, "points of %s", series.Name)
	}
	fitted := plotter.NewFunction(func(x float64) float64 { return series.Fit.Intercept + series.Fit.Slope*x })
	fitted.XMin, fitted.XMax = 0, highest
	fitted.Color = plotutil.Color(1)
	drawn.Add(scatter, fitted)
	drawn.Legend.Add("median", scatter)
	drawn.Legend.Add(fmt.Sprintf("%.4g x + %.4g, r² %.3f", series.Fit.Slope, series.Fit.Intercept, series.Fit.R2), fitted)
	drawn.X.Min = 0
	drawn.Y.Min = min(0, drawn.Y.Min)
	command := fmt.Sprintf("go run ./cmd/bench Slopes --only '^%s$'", series.Name)
	return page.save(drawn, "slope-"+series.Name, series.Name, command)
}
