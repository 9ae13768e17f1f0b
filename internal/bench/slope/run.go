package slope

import (
	"os"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const threads = 2

// Options configures a run.
type Options struct {
	Only   string // regular expression for the names of the measures to run; empty selects all
	Rounds int
}

// measure measures a value at each of several sizes.
type measure struct {
	name        string
	size        string
	unit        string
	sizes       []int
	run         func(size int) (float64, error)
	scale       func(size int) float64 // converts a size to the x value of the fit
	singleRound bool                   // runs once per size, whatever Options.Rounds is
}

// newMeasure returns a measure whose values are fitted against its sizes.
func newMeasure(name, size, unit string, sizes []int, run func(size int) (float64, error)) measure {
	identity := func(size int) float64 { return float64(size) }
	return measure{name: name, size: size, unit: unit, sizes: sizes, run: run, scale: identity}
}

// scaledBy fits the values against a function of the size.
func (measure measure) scaledBy(scale func(size int) float64) measure {
	measure.scale = scale
	return measure
}

// Run runs the selected measures one after the other and returns an error as soon as one of them fails.
func Run(options Options) (Report, error) {
	pattern, err := regexp.Compile(options.Only)
	if err != nil {
		return Report{}, eris.Wrap(err, "parse the pattern for names of measures")
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
	report := Report{Threads: threads, Cores: runtime.NumCPU(), Rounds: options.Rounds, LoadBefore: loadAverage()}
	for _, measure := range measures() {
		if !pattern.MatchString(measure.name) {
			continue
		}
		series, err := measure.series(options.Rounds)
		if err != nil {
			return report, eris.Wrapf(err, "measure %s", measure.name)
		}
		report.Series = append(report.Series, series)
	}
	report.LoadAfter = loadAverage()
	return report, nil
}

func measures() []measure {
	return slices.Concat(coreMeasures(), heartbeatMeasures(), leaseMeasures(), rateMeasures(), manifestMeasures(),
		groupMeasures(), transportMeasures(), sessionMeasures(), memoryMeasures(), platformMeasures())
}

func (measure measure) series(rounds int) (Series, error) {
	series := Series{Name: measure.name, Size: measure.size, Unit: measure.unit}
	if measure.singleRound {
		rounds = 1
	}
	for _, size := range measure.sizes {
		values := []float64{}
		for range rounds {
			value, err := measure.run(size)
			if err != nil {
				return series, eris.Wrapf(err, "run at size %d", size)
			}
			values = append(values, value)
		}
		slices.Sort(values)
		series.Points = append(series.Points, Point{Size: measure.scale(size), Value: values[len(values)/2]})
	}
	series.Fit = FitLine(series.Points)
	return series, nil
}

// loadAverage returns the machine's one-minute load average, or zero if it cannot be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}
