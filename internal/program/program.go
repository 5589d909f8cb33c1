// Package program holds what the main functions of the daemons share.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/chicorylever/chicorylever/internal/obs"
	"github.com/chicorylever/chicorylever/internal/settings"
)

// exitFailure is the exit code of a program that fails after its settings were accepted.
const exitFailure = 1

// Daemon starts one of the daemons from its settings file and serves until ctx ends.
type Daemon func(ctx context.Context, settingsPath string) error

// Main runs a daemon's command line and ends the process; see Run.
// The settings file is also taken from the first of the environment variables that is set.
func Main(name, usage string, daemon Daemon, variables ...string) {
	Run(&cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "JSON settings `FILE`", Sources: cli.EnvVars(variables...)},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return daemon(ctx, command.String("settings"))
		},
	})
}

// Run runs a command line and ends the process. SIGTERM and SIGINT start a graceful
// stop. The exit code is 0 after a graceful stop, 2 for invalid settings or usage, 1
// for other errors.
func Run(command *cli.Command) {
	// A hangup before the settings are watched must not end the program.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	action, started := command.Action, false
	command.Action = func(ctx context.Context, command *cli.Command) error {
		started = true
		return action(ctx, command)
	}
	err := command.Run(ctx, os.Args)
	stop()
	output.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, command.Name+": "+err.Error())
		os.Exit(exitCode(err, started))
	}
}

// exitCode takes an error before the action for one of usage.
func exitCode(err error, started bool) int {
	var invalid *settings.Error
	if !started || errors.As(err, &invalid) {
		return settings.ExitCode
	}
	return exitFailure
}

// output takes the lines of all loggers. It never blocks, so that a reader of standard
// output that stops holds up no request.
var output = obs.NewRing(os.Stdout)

// Logger writes JSON lines to standard output.
func Logger(levelName string) (log.Logger, error) {
	return obs.NewLogger(output, levelName)
}
