// Command chicorylever-control runs a control member.
package main

import (
	"context"

	"github.com/chicorylever/chicorylever/internal/control"
	"github.com/chicorylever/chicorylever/internal/program"
	"github.com/chicorylever/chicorylever/internal/settings"
)

func main() {
	program.Main("chicorylever-control", "control member with the durable state", run)
}

func run(ctx context.Context, path string) error {
	s, err := settings.LoadControl(path)
	if err != nil {
		return err
	}
	logger, err := program.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	c, err := control.New(s, logger)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}
