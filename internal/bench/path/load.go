package path

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	medianPercentile  = 50
	highPercentile    = 99
	significantDigits = 3
)

// sample is one run against one address.
type sample struct {
	PerSecond     float64
	MedianMicros  float64
	HighestMicros float64
}

// load is a set of callers that repeat a query, each over a connection of its own.
type load struct {
	query   string
	clients []*pgconn.PgConn
}

func dialLoad(ctx context.Context, address, query string, connections int) (*load, error) {
	load := &load{query: query}
	for range connections {
		client, err := pgconn.Connect(ctx, address)
		if err != nil {
			load.close()
			return nil, eris.Wrap(err, "connect a caller")
		}
		load.clients = append(load.clients, client)
	}
	return load, nil
}

func (load *load) close() {
	for _, client := range load.clients {
		_ = client.Conn().Close()
	}
}

func (load *load) run(ctx context.Context, duration time.Duration) (sample, error) {
	histograms := make([]*hdrhistogram.Histogram, len(load.clients))
	group, ctx := errgroup.WithContext(ctx)
	began := time.Now()
	for number, client := range load.clients {
		histograms[number] = newHistogram()
		group.Go(func() error { return repeat(ctx, client, load.query, began.Add(duration), histograms[number]) })
	}
	if err := group.Wait(); err != nil {
		return sample{}, eris.Wrap(err, "query")
	}
	elapsed := time.Since(began)
	all := newHistogram()
	for _, histogram := range histograms {
		all.Merge(histogram)
	}
	if all.TotalCount() == 0 {
		return sample{}, eris.New("the run ended before its first answer")
	}
	return sample{
		PerSecond:     float64(all.TotalCount()) / elapsed.Seconds(),
		MedianMicros:  micros(all.ValueAtPercentile(medianPercentile)),
		HighestMicros: micros(all.ValueAtPercentile(highPercentile)),
	}, nil
}

// newHistogram counts latencies in nanoseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(time.Minute), significantDigits)
}

func repeat(
	ctx context.Context, client *pgconn.PgConn, query string, until time.Time, latencies *hdrhistogram.Histogram,
) error {
	for began := time.Now(); began.Before(until); {
		if _, err := client.Exec(ctx, query).ReadAll(); err != nil {
			return err
		}
		ended := time.Now()
		if err := latencies.RecordValue(int64(ended.Sub(began))); err != nil {
			return err
		}
		began = ended
	}
	return nil
}

func micros(nanos int64) float64 {
	return float64(nanos) / float64(time.Microsecond)
}
