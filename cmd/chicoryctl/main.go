// Command chicoryctl is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chicorylever/chicorylever/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, ctl.StandardStreams())
	stop()
	os.Exit(code)
}
