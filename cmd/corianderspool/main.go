// Command corianderspool is a database proxy with session consistency.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"corianderspool.example/spool/internal/cmds"
	"corianderspool.example/spool/internal/node"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program := cmds.New(
		cmds.WithServer(cmds.ServerFunc(node.Run)),
		cmds.WithFleet(runFleet),
		cmds.WithConnect(connect),
		cmds.WithActor(os.Getenv("USER")),
	)
	os.Exit(int(program.Run(ctx, os.Args[1:])))
}

func connect(url, token string) spool.Platform {
	return objapi.New(url, objapi.WithToken(token))
}
