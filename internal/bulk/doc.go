// Package bulk transfers a large object of the store between proxies over data streams: it reads and writes the frames of a
// transfer and compresses bodies. The decisions are in internal/core/spread.
package bulk
