// Command corianderspool is a database proxy with session consistency.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/node"
)

func main() {
	if len(os.Args) != 4 || os.Args[1] != "serve" || os.Args[2] != "--settings" {
		fmt.Fprintln(os.Stderr, "usage: corianderspool serve --settings FILE")
		os.Exit(2)
	}
	settings, faults := config.Load(os.Args[3])
	if len(faults) > 0 {
		fmt.Fprintln(os.Stderr, faults.Error())
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, err := zap.NewProduction()
	if err == nil {
		err = node.Run(ctx, settings, logger)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
