// Command chicorylever-dev runs a control member, three nodes and demo upstreams in one
// process on loopback.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/dev"
	"github.com/chicorylever/chicorylever/internal/program"
)

const defaultBasePort = 7400

func main() {
	program.Run(&cli.Command{
		Name:  "chicorylever-dev",
		Usage: "one control member, three nodes and demo upstreams in one process on loopback",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base-port", Value: defaultBasePort, Usage: "first of 14 loopback `PORT`s"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		Action: run,
	})
}

func run(ctx context.Context, command *cli.Command) error {
	logger, err := program.Logger(command.String("log-level"))
	if err != nil {
		return err
	}
	return dev.Run(ctx, dev.Options{BasePort: command.Int("base-port"), Output: os.Stdout, Logger: logger})
}
