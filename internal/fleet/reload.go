package fleet

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// reloadInterval is the time between reads of the settings, which may change without a signal.
const reloadInterval = 5 * time.Second

// LoadFunc reads the settings again and returns every fault in them.
type LoadFunc func() (spool.FleetSettings, spool.Faults)

// WatchSettings reloads the settings on SIGHUP and periodically until the context ends.
func (proxy *Proxy) WatchSettings(ctx context.Context, load LoadFunc) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				proxy.reload(load, "SIGHUP")
			case <-ticker.C:
				proxy.reload(load, "period")
			}
		}
	}()
}

// reload applies the settings that may change while the process runs; invalid settings are rejected as a whole.
func (proxy *Proxy) reload(load LoadFunc, trigger string) {
	settings, faults := load()
	if len(faults) > 0 {
		event.Log(proxy.logger, event.SettingsRejected, zap.String("Trigger", trigger), event.Cause(faults))
		return
	}
	proxy.mutex.Lock()
	changed := !reflect.DeepEqual(settings, proxy.lastReloaded)
	proxy.lastReloaded = settings
	proxy.mutex.Unlock()
	if !changed {
		return
	}
	debug.SetMemoryLimit(memoryLimit(settings))
	proxy.pool.SetDrain(settings.Bounds.Drain)
	event.Log(proxy.logger, event.SettingsReloaded, zap.String("Trigger", trigger),
		zap.Bool("RestartNeeded", restartNeeded(settings, proxy.settings)))
}

// restartNeeded reports whether settings changed that a running process cannot apply.
func restartNeeded(settings, started spool.FleetSettings) bool {
	return settings.VM != started.VM || settings.Domain != started.Domain || settings.Callers != started.Callers ||
		settings.Readiness != started.Readiness || settings.Peers != started.Peers || settings.Store != started.Store ||
		settings.PromotionAddress != started.PromotionAddress
}

func memoryLimit(settings spool.FleetSettings) int64 {
	return int64(float64(settings.MemoryBytes) * memoryFraction)
}
