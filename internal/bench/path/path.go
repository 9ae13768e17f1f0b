package path

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Options configures a benchmark run.
type Options struct {
	Direct      string // connection string of the server
	Proxied     string // connection string of the proxy
	Query       string
	Connections []int
	Pairs       int
	Duration    time.Duration // of one run
}

// Row holds medians over all pairs of runs at one number of connections.
type Row struct {
	Connections          int
	DirectPerSecond      float64
	ProxiedPerSecond     float64
	Ratio                float64 // proxied to direct throughput
	DirectMedianMicros   float64
	ProxiedMedianMicros  float64
	AddedMedianMicros    float64
	ProxiedHighestMicros float64 // 99th percentile
}

// Report is the result of Run.
type Report struct {
	Pairs          int
	DurationMillis int64
	Rows           []Row
}

// pair holds a direct and a proxied run that were made one right after the other.
type pair struct {
	direct, proxied sample
}

// Run measures each number of connections and returns an error if a connection or a query fails.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{Pairs: options.Pairs, DurationMillis: options.Duration.Milliseconds()}
	for _, connections := range options.Connections {
		row, err := measure(ctx, options, connections)
		if err != nil {
			return report, err
		}
		report.Rows = append(report.Rows, row)
	}
	return report, nil
}

func measure(ctx context.Context, options Options, connections int) (Row, error) {
	direct, err := connectWorkload(ctx, options.Direct, options.Query, connections)
	if err != nil {
		return Row{}, err
	}
	defer direct.close()
	proxied, err := connectWorkload(ctx, options.Proxied, options.Query, connections)
	if err != nil {
		return Row{}, err
	}
	defer proxied.close()
	var pairs []pair
	for number := range options.Pairs + 1 {
		measured, err := measurePair(ctx, direct, proxied, options.Duration, number%2 == 0)
		if err != nil {
			return Row{}, err
		}
		if number > 0 { // the first pair is warm-up
			pairs = append(pairs, measured)
		}
	}
	return summarize(connections, pairs), nil
}

func measurePair(
	ctx context.Context, direct, proxied *workload, duration time.Duration, directFirst bool,
) (measured pair, err error) {
	if directFirst {
		if measured.direct, err = direct.run(ctx, duration); err != nil {
			return measured, err
		}
	}
	if measured.proxied, err = proxied.run(ctx, duration); err != nil {
		return measured, err
	}
	if !directFirst {
		measured.direct, err = direct.run(ctx, duration)
	}
	return measured, err
}

func summarize(connections int, pairs []pair) Row {
	return Row{
		Connections:          connections,
		DirectPerSecond:      median(pairs, func(pair pair) float64 { return pair.direct.PerSecond }),
		ProxiedPerSecond:     median(pairs, func(pair pair) float64 { return pair.proxied.PerSecond }),
		Ratio:                median(pairs, func(pair pair) float64 { return pair.proxied.PerSecond / pair.direct.PerSecond }),
		DirectMedianMicros:   median(pairs, func(pair pair) float64 { return pair.direct.MedianMicros }),
		ProxiedMedianMicros:  median(pairs, func(pair pair) float64 { return pair.proxied.MedianMicros }),
		AddedMedianMicros:    median(pairs, func(pair pair) float64 { return pair.proxied.MedianMicros - pair.direct.MedianMicros }),
		ProxiedHighestMicros: median(pairs, func(pair pair) float64 { return pair.proxied.P99Micros }),
	}
}

func median(pairs []pair, value func(pair pair) float64) float64 {
	var values []float64
	for _, pair := range pairs {
		values = append(values, value(pair))
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// WriteTable writes the report as a text table.
func (report Report) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "connections\tdirect/s\tproxied/s\tratio\tdirect µs\tproxied µs\tadded µs\tproxied p99 µs\t")
	for _, row := range report.Rows {
		_, _ = fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			row.Connections, row.DirectPerSecond, row.ProxiedPerSecond, row.Ratio, row.DirectMedianMicros,
			row.ProxiedMedianMicros, row.AddedMedianMicros, row.ProxiedHighestMicros)
	}
	return table.Flush()
}
