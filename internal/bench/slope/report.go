package slope

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Series holds the results of one measure at each of its sizes.
type Series struct {
	Name   string
	Size   string // quantity on the x axis
	Unit   string // unit of the values
	Points []Point
	Fit    Fit
}

// Report is the result of Run.
type Report struct {
	Threads    int // GOMAXPROCS during the run
	Cores      int
	Rounds     int // runs at each size; points are their medians
	LoadBefore float64
	LoadAfter  float64
	Series     []Series
}

// WriteTable writes the report as a text table.
func (report Report) WriteTable(output io.Writer) error {
	_, _ = fmt.Fprintf(output, "%d threads on %d cores, median of %d rounds, load %.1f before and %.1f after\n\n",
		report.Threads, report.Cores, report.Rounds, report.LoadBefore, report.LoadAfter)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "measure\tvalue\tsize\tslope\tintercept\tr²\tvalue at size")
	for _, series := range report.Series {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.4f\t%s\n", series.Name, series.Unit, series.Size,
			series.Fit.Slope, series.Fit.Intercept, series.Fit.R2, formatPoints(series.Points))
	}
	return table.Flush()
}

func formatPoints(points []Point) string {
	text := ""
	for _, point := range points {
		text += fmt.Sprintf("%.4g at %.0f; ", point.Value, point.Size)
	}
	return text
}
