// Command chicorylever-node runs beside each upstream.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/chicorylever/chicorylever/internal/node"
	"github.com/chicorylever/chicorylever/internal/program"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const (
	// gcPercent and memoryLimitBytes trade memory for fewer collections, which are
	// visible in the latency of calls. A node may use 128 MB.
	gcPercent        = 400
	memoryLimitBytes = 96 << 20
)

func main() {
	if os.Getenv("GOGC") == "" && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimitBytes)
	}
	program.Main("chicorylever-node", "load-balancing node beside an upstream", run)
}

func run(ctx context.Context, path string) error {
	s, err := settings.LoadNode(path)
	if err != nil {
		return err
	}
	logger, err := program.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	n, err := node.New(s, logger)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
