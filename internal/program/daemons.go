package program

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/go-kit/log"

	"github.com/chicorylever/chicorylever/internal/control"
	"github.com/chicorylever/chicorylever/internal/coordination/memlimit"
	"github.com/chicorylever/chicorylever/internal/node"
	"github.com/chicorylever/chicorylever/internal/settings"
)

const (
	// gcPercent trades memory for fewer garbage collections, which add to request latency.
	gcPercent = 100
)

// Node returns a Daemon that runs a node and reloads its settings file.
func Node(options node.Options) Daemon {
	options.DroppedLogLines = logOutput.Dropped
	return func(ctx context.Context, path string) error {
		s, err := settings.LoadNode(path)
		if err != nil {
			return err
		}
		tuneGC(s.MemoryLimitMB)
		logger, err := Logger(s.LogLevel)
		if err != nil {
			return err
		}
		n, err := node.New(s, logger, options)
		if err != nil {
			return err
		}
		watchCtx, stop := context.WithCancel(ctx)
		defer stop()
		go watchSettings(watchCtx, path, logger, func() ([]string, error) {
			next, err := settings.LoadNode(path)
			if err != nil {
				return nil, err
			}
			tuneGC(next.MemoryLimitMB)
			return n.Reload(next), nil
		})
		return n.Run(ctx)
	}
}

// tuneGC configures the garbage collector unless the environment does.
func tuneGC(memoryMB int) {
	if os.Getenv("GOGC") == "" && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memlimit.SoftLimit(int64(memoryMB) << 20))
	}
}

// Control returns a Daemon that runs a control member and reloads its settings file.
func Control(options control.Options) Daemon {
	options.DroppedLogLines = logOutput.Dropped
	return func(ctx context.Context, path string) error {
		s, err := settings.LoadControl(path)
		if err != nil {
			return err
		}
		tuneGC(s.MemoryLimitMB)
		logger, err := Logger(s.LogLevel)
		if err != nil {
			return err
		}
		return retryWhileDiskFull(ctx, logger, func(ctx context.Context) error { return runControl(ctx, path, s, logger, options) })
	}
}

// runControl runs a control member until ctx ends or the member fails.
func runControl(ctx context.Context, path string, s *settings.Control, logger log.Logger, options control.Options) error {
	c, err := control.New(s, logger, options)
	if err != nil {
		logCorruption(logger, s.DataDir, err)
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watchCtx, path, logger, func() ([]string, error) {
		next, err := settings.LoadControl(path)
		if err != nil {
			return nil, err
		}
		tuneGC(next.MemoryLimitMB)
		return c.Reload(next), nil
	})
	return c.Run(ctx)
}
