package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/objapi"
)

const watchWait = 1 * time.Second

// Run runs a proxy with the given settings until ctx ends, then drains it.
func Run(ctx context.Context, settings config.Settings, logger *zap.Logger) error {
	options := []objapi.Option{objapi.WithWatchWait(watchWait)}
	if settings.Platform.TokenFile != "" {
		token, err := readSecret(settings.Platform.TokenFile)
		if err != nil {
			return err
		}
		options = append(options, objapi.WithToken(token))
	}
	platform := objapi.New(settings.Platform.URL, options...)
	defer platform.Close()
	node, err := New(settings, platform, logger)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}
