// Command chicorylever-upstream runs an echo server that announces itself to a node, for
// development and tests.
package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/emulator"
	"github.com/chicorylever/chicorylever/internal/program"
)

const (
	defaultSlots       = 10
	defaultConnections = 200
	leaveTimeout       = 2 * time.Second
	logFileMode        = 0o600
)

func main() {
	program.Run(&cli.Command{
		Name:  "chicorylever-upstream",
		Usage: "echo server that announces itself to a node; not for production",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "instance", Required: true, Usage: "`NAME` of the instance"},
			&cli.StringFlag{Name: "node", Required: true, Usage: "local_listen `ADDRESS` of the node"},
			&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "requests worked on at once"},
			&cli.IntFlag{Name: "connections", Value: defaultConnections, Usage: "accepted connections"},
			&cli.FloatFlag{Name: "rate-limit", Usage: "state in each response that the upstream accepts `NUMBER` requests a second"},
			&cli.StringFlag{Name: "log", Usage: "append the path of each request to `FILE`"},
		},
		Action: run,
	})
}

func run(ctx context.Context, command *cli.Command) error {
	requestLog := io.Discard
	if path := command.String("log"); path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode) //nolint:gosec // named by the user
		if err != nil {
			return errors.Wrap(err, "open the request log")
		}
		defer func() { _ = file.Close() }()
		requestLog = file
	}
	upstream, err := emulator.New(emulator.Options{
		Service:       command.String("service"),
		Instance:      command.String("instance"),
		Node:          command.String("node"),
		Slots:         command.Int("slots"),
		Connections:   command.Int("connections"),
		Handler:       emulator.Echo(command.String("instance"), requestLog),
		IsRateLimited: command.IsSet("rate-limit"),
		RateLimit:     command.Float("rate-limit"),
	})
	if err != nil {
		return err
	}
	return serve(ctx, upstream)
}

// serve runs the upstream until ctx ends. The upstream announces to the node that it leaves
// before its server stops.
func serve(ctx context.Context, upstream *emulator.Upstream) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() {
		defer stop()
		leaveCtx, cancel := context.WithTimeout(serveCtx, leaveTimeout)
		defer cancel()
		_ = upstream.Leave(leaveCtx)
	})
	return upstream.Run(serveCtx)
}
