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

// Options say what to measure.
type Options struct {
	Only   string // regular expression that the names of the measures match; empty takes all
	Rounds int
}

// measure finds a value at each of several sizes.
type measure struct {
	name  string
	size  string
	unit  string
	sizes []int
	run   func(size int) (float64, error)
	scale func(size int) float64 // what the value is a line of
	once  bool                   // one round is enough
}

// line is a measure whose value is a line of its size.
func line(name, size, unit string, sizes []int, run func(size int) (float64, error)) measure {
	same := func(size int) float64 { return float64(size) }
	return measure{name: name, size: size, unit: unit, sizes: sizes, run: run, scale: same}
}

// against makes the value a line of a function of the size.
func (measure measure) against(scale func(size int) float64) measure {
	measure.scale = scale
	return measure
}

// Run takes the chosen measures one after the other and fails when one of them does.
func Run(options Options) (Report, error) {
	chosen, err := regexp.Compile(options.Only)
	if err != nil {
		return Report{}, eris.Wrap(err, "choose the measures")
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(threads))
	report := Report{Threads: threads, Cores: runtime.NumCPU(), Rounds: options.Rounds, LoadBefore: load()}
	for _, measure := range measures() {
		if !chosen.MatchString(measure.name) {
			continue
		}
		series, err := measure.series(options.Rounds)
		if err != nil {
			return report, eris.Wrapf(err, "measure %s", measure.name)
		}
		report.Series = append(report.Series, series)
	}
	report.LoadAfter = load()
	return report, nil
}

func measures() []measure {
	return slices.Concat(coreMeasures(), heartbeatMeasures(), leaseMeasures(), rateMeasures(), policyMeasures(),
		groupMeasures(), linkMeasures(), sessionMeasures(), memoryMeasures(), platformMeasures())
}

func (measure measure) series(rounds int) (Series, error) {
	series := Series{Name: measure.name, Size: measure.size, Unit: measure.unit}
	if measure.once {
		rounds = 1
	}
	for _, size := range measure.sizes {
		values := []float64{}
		for range rounds {
			value, err := measure.run(size)
			if err != nil {
				return series, eris.Wrapf(err, "size %d", size)
			}
			values = append(values, value)
		}
		slices.Sort(values)
		series.Points = append(series.Points, Point{Size: measure.scale(size), Value: values[len(values)/2]})
	}
	series.Fit = Line(series.Points)
	return series, nil
}

// load returns the machine's load average over the last minute, or zero if it cannot be read.
func load() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}
