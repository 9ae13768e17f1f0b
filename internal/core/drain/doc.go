// Package drain decides when a proxy that was told to stop ends what its callers do.
//
// It answers a planned stop under load: callers keep using their sessions
// until the process is gone, and new ones arrive for some time after it says
// that it is not ready.
package drain
