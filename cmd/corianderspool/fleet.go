package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/cmds"
	"corianderspool.example/spool/internal/fleet"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// runFleet runs a proxy on the operators' platform until the context ends.
func runFleet(ctx context.Context, logger *zap.Logger) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return cmds.InvalidError{Cause: eris.Errorf("%s is not set", platform.SettingsVariable)}
	}
	settings, faults := platform.LoadSettings(path)
	if len(faults) > 0 {
		return cmds.InvalidError{Cause: eris.Wrapf(faults, "settings %s", path)}
	}
	adapter := platform.New(settings, sock.Dialer(sock.DefaultUserTimeout))
	proxy := fleet.New(settings, adapter, clock.Real{}, logger)
	proxy.WatchSettings(ctx, func() (spool.FleetSettings, spool.Faults) { return platform.LoadSettings(path) })
	return proxy.Run(ctx)
}
