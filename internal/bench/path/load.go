package path

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const highQuantile = 0.99

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
	latencies := make([][]time.Duration, len(load.clients))
	group, ctx := errgroup.WithContext(ctx)
	began := time.Now()
	for number, client := range load.clients {
		group.Go(func() (err error) {
			latencies[number], err = repeat(ctx, client, load.query, began.Add(duration))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return sample{}, eris.Wrap(err, "query")
	}
	elapsed := time.Since(began)
	all := slices.Concat(latencies...)
	if len(all) == 0 {
		return sample{}, eris.New("the run ended before its first answer")
	}
	slices.Sort(all)
	return sample{
		PerSecond:     float64(len(all)) / elapsed.Seconds(),
		MedianMicros:  micros(all[len(all)/2]),
		HighestMicros: micros(all[int(float64(len(all))*highQuantile)]),
	}, nil
}

func repeat(
	ctx context.Context, client *pgconn.PgConn, query string, until time.Time,
) (latencies []time.Duration, err error) {
	for began := time.Now(); began.Before(until); {
		if _, err := client.Exec(ctx, query).ReadAll(); err != nil {
			return nil, err
		}
		ended := time.Now()
		latencies = append(latencies, ended.Sub(began))
		began = ended
	}
	return latencies, nil
}

func micros(latency time.Duration) float64 {
	return float64(latency) / float64(time.Microsecond)
}
