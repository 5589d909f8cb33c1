// Command chicorylever-node runs beside each upstream.
package main

import (
	"context"

	"github.com/chicorylever/chicorylever/internal/node"
	"github.com/chicorylever/chicorylever/internal/program"
	"github.com/chicorylever/chicorylever/internal/settings"
)

func main() {
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
