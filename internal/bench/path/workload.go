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
	tailPercentile    = 99
	significantDigits = 3
)

// sample is the result of one run, either direct or through the proxy.
type sample struct {
	PerSecond    float64
	MedianMicros float64
	P99Micros    float64
}

// workload is a set of clients that repeat a query, each on its own connection.
type workload struct {
	query   string
	clients []*pgconn.PgConn
}

func connectWorkload(ctx context.Context, connectionString, query string, connections int) (*workload, error) {
	workload := &workload{query: query}
	for range connections {
		client, err := pgconn.Connect(ctx, connectionString)
		if err != nil {
			workload.close()
			return nil, eris.Wrap(err, "connect a client")
		}
		workload.clients = append(workload.clients, client)
	}
	return workload, nil
}

func (workload *workload) close() {
	for _, client := range workload.clients {
		_ = client.Conn().Close()
	}
}

func (workload *workload) run(ctx context.Context, duration time.Duration) (sample, error) {
	histograms := make([]*hdrhistogram.Histogram, len(workload.clients))
	group, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	for number, client := range workload.clients {
		histograms[number] = newHistogram()
		group.Go(func() error { return repeatQuery(ctx, client, workload.query, start.Add(duration), histograms[number]) })
	}
	if err := group.Wait(); err != nil {
		return sample{}, eris.Wrap(err, "run the query")
	}
	elapsed := time.Since(start)
	merged := newHistogram()
	for _, histogram := range histograms {
		merged.Merge(histogram)
	}
	if merged.TotalCount() == 0 {
		return sample{}, eris.New("no query was answered during the run")
	}
	return sample{
		PerSecond:    float64(merged.TotalCount()) / elapsed.Seconds(),
		MedianMicros: micros(merged.ValueAtPercentile(medianPercentile)),
		P99Micros:    micros(merged.ValueAtPercentile(tailPercentile)),
	}, nil
}

// newHistogram returns a histogram of latencies in nanoseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(time.Minute), significantDigits)
}

func repeatQuery(
	ctx context.Context, client *pgconn.PgConn, query string, until time.Time, latencies *hdrhistogram.Histogram,
) error {
	for start := time.Now(); start.Before(until); {
		if _, err := client.Exec(ctx, query).ReadAll(); err != nil {
			return err
		}
		end := time.Now()
		if err := latencies.RecordValue(int64(end.Sub(start))); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func micros(nanos int64) float64 {
	return float64(nanos) / float64(time.Microsecond)
}
